//! The fleet's configuration as the other services see it: parsed, in force, followed.

use std::net::SocketAddr;
use std::sync::Arc;

use agateflow::config;
use agateflow::event::Event;
use agateflow::fleet::{message, node};
use agateflow::settings;
use agateflow::unit;
use tokio::sync::watch;

use crate::error::Error;
use crate::link::Identity;
use crate::{event, fleet};

/// Key of the configuration at the service.
const KEY: &str = "fleet";

/// Validates the bytes of a configuration, with the same result in every process.
///
/// # Errors
///
/// The problems of the bytes, one a line.
pub fn accept(bytes: &[u8]) -> Result<unit::Revision, Box<str>> {
    let text = config::decode(bytes).map_err(|e| e.to_string())?;
    let fleet = config::parse(text).map_err(|e| e.to_string())?;
    Ok(fleet.revision)
}

/// Starts the fleet service of a process.
///
/// # Errors
///
/// [`Error::Fleet`] if its address cannot be used.
pub async fn join(
    settings: &settings::Settings,
    identity: &Identity,
) -> Result<fleet::Handle, Error> {
    let role = match settings.role {
        settings::Role::Entry { .. } => message::Role::Entry,
        settings::Role::Upstream { .. } => message::Role::Upstream,
    };
    let seed = |&address: &SocketAddr| node::Seed { data_centre: None, address };
    let handle = fleet::start(fleet::Settings {
        name: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        role,
        listen: settings.listen,
        seeds: settings.seeds.iter().map(seed).collect(),
        secret: identity.secret.as_slice().into(),
        configuration: settings.configuration,
        value: KEY.into(),
        validate: Arc::new(accept),
        group_of: Arc::new(|_| None),
        incarnation: identity.incarnation,
    });
    Ok(handle.await?)
}

/// Waits for a configuration in force and follows its changes on a task.
pub async fn follow(
    handle: &fleet::Handle,
    logger: &slog::Logger,
) -> watch::Receiver<Arc<config::Fleet>> {
    let mut documents = handle.documents();
    let first = first(&mut documents, logger).await;
    handle.set_seeds(seeds(&first));
    let (publish, receiver) = watch::channel(Arc::new(first));
    let (handle, logger) = (handle.clone(), logger.clone());
    tokio::spawn(async move {
        loop {
            let fleet = tokio::select! {
                fleet = next(&mut documents, &logger) => fleet,
                () = publish.closed() => return,
            };
            handle.set_seeds(seeds(&fleet));
            publish.send_replace(Arc::new(fleet));
        }
    });
    receiver
}

type Documents = watch::Receiver<Option<Arc<agateflow::fleet::revision::Document>>>;

/// The document in force now; waits for the first.
async fn first(documents: &mut Documents, logger: &slog::Logger) -> config::Fleet {
    loop {
        if let Some(fleet) = current(documents, logger) {
            return fleet;
        }
        change(documents).await;
    }
}

/// The next document in force.
async fn next(documents: &mut Documents, logger: &slog::Logger) -> config::Fleet {
    change(documents).await;
    first(documents, logger).await
}

/// Waits for another document. The channel is open as long as its handle.
async fn change(documents: &mut Documents) {
    if documents.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn current(documents: &mut Documents, logger: &slog::Logger) -> Option<config::Fleet> {
    let document = documents.borrow_and_update().clone()?;
    // Accepted documents parse, as `accept` has validated them.
    let fleet = config::parse(config::decode(&document.bytes).ok()?).ok()?;
    event!(logger, Event::ConfigurationAccepted; "revision" => %fleet.revision);
    Some(fleet)
}

fn seeds(fleet: &config::Fleet) -> Vec<node::Seed> {
    let seed = |vm: &config::Vm| node::Seed {
        data_centre: Some(vm.data_centre.clone()),
        address: vm.address,
    };
    fleet.vms.iter().map(seed).collect()
}
