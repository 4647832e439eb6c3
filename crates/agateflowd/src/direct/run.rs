//! Start and end of an entry that sends requests straight to upstreams.

use std::rc::Rc;
use std::time::Duration;

use agateflow::event::Event;
use agateflow::unit;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::{task, time};

use super::page::{self, Page};
use super::{Entry, follow, gossip, server, socket};
use crate::error::Error;
use crate::{event, meter, signal};

/// Time for which new connections are taken after the signal to end: the balancer needs it to
/// notice that the entry is not ready.
const NOTICE: Duration = Duration::from_millis(3_000);

/// Time before the kill at which requests in progress are given up.
const GRACE_MARGIN: unit::Millis = unit::Millis::new(250);

/// Time between two looks at whether requests are in progress.
const DRAIN_TICK: Duration = Duration::from_millis(20);

/// Serves until SIGTERM or SIGINT, then ends without cutting requests in progress.
///
/// # Errors
///
/// [`Error::Bind`] or [`Error::Signal`].
pub async fn run(entry: Rc<Entry>) -> Result<(), Error> {
    let options = entry.options.clone();
    let bind = |error| Error::Bind(options.callers, error);
    let callers = socket::listen(options.callers).map_err(bind)?;
    let (close, closed) = watch::channel(false);
    pages(&entry)?;
    task::spawn_local(meter::upkeep());
    gossip(&entry).await?;
    task::spawn_local(follow::run(entry.clone()));
    task::spawn_local(follow::tick(entry.clone()));
    let server = task::spawn_local(server::run(entry.clone(), callers, closed));
    event!(entry.logger, Event::Started; "version" => env!("CARGO_PKG_VERSION"),
        "data_centre" => %options.data_centre);
    signal::end()?.await;
    let begun = entry.now();
    event!(entry.logger, Event::Draining; "running" => entry.running());
    entry.leaving.send_replace(true);
    entry.news.notify_one();
    time::sleep(NOTICE).await;
    close.send_replace(true);
    drop(server.await);
    drain(&entry, begun).await;
    Ok(())
}

fn pages(entry: &Rc<Entry>) -> Result<(), Error> {
    let options = &entry.options;
    let pages = [
        (Some(options.ready), Page::Ready),
        (options.metrics, Page::Metrics),
        (Some(options.peers), Page::Snapshot),
    ];
    for (address, page) in pages {
        let Some(address) = address else { continue };
        let listener = socket::listen(address).map_err(|error| Error::Bind(address, error))?;
        task::spawn_local(page::serve(entry.clone(), listener, page));
    }
    Ok(())
}

async fn gossip(entry: &Rc<Entry>) -> Result<(), Error> {
    let address = entry.options.peers;
    let socket = UdpSocket::bind(address).await.map_err(|error| Error::Bind(address, error))?;
    let socket = Rc::new(socket);
    task::spawn_local(gossip::send(entry.clone(), socket.clone()));
    task::spawn_local(gossip::receive(entry.clone(), socket));
    Ok(())
}

async fn drain(entry: &Entry, begun: unit::Millis) {
    let end = begun + entry.options.grace.saturating_sub(GRACE_MARGIN);
    while entry.running() > 0 && entry.now() < end {
        time::sleep(DRAIN_TICK).await;
    }
    let left = entry.running();
    if left > 0 {
        event!(entry.logger, Event::DrainTimedOut; "running" => left);
    } else {
        event!(entry.logger, Event::Drained; "took" => %entry.now().saturating_sub(begun));
    }
}
