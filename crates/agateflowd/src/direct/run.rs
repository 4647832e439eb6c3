//! Startup and graceful shutdown of an entry.

use std::rc::Rc;
use std::time::Duration;

use agateflow::direct::drain;
use agateflow::event::Event;
use agateflow::unit;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::{task, time};

use super::endpoint::{self, Endpoint};
use super::{Entry, gossip, peer_sync, server, socket};
use crate::error::Error;
use crate::{event, meter, signal};

/// Time for which new connections are accepted after the shutdown signal: the load balancer needs
/// it to notice that the entry is not ready.
const UNREADY_TIME: unit::Millis = unit::Millis::new(3_000);

/// Time before the kill at which requests in progress are abandoned.
const GRACE_MARGIN: unit::Millis = unit::Millis::new(250);

/// Interval between checks for requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves until SIGTERM or SIGINT, then drains the requests in progress.
///
/// # Errors
///
/// [`Error::Bind`] or [`Error::Signal`].
pub async fn run(entry: Rc<Entry>) -> Result<(), Error> {
    let options = entry.options.clone();
    let bind = |error| Error::Bind(options.caller_address, error);
    let callers = socket::listen(options.caller_address).map_err(bind)?;
    let (close, closed) = watch::channel(false);
    serve_endpoints(&entry)?;
    task::spawn_local(meter::upkeep());
    task::spawn_local(entry.intake.clone().report());
    start_gossip(&entry).await?;
    task::spawn_local(peer_sync::run(entry.clone()));
    task::spawn_local(peer_sync::run_housekeeping(entry.clone()));
    let server = task::spawn_local(server::run(entry.clone(), callers, closed));
    event!(entry.logger, Event::Started; "version" => env!("CARGO_PKG_VERSION"),
        "data_centre" => %options.data_centre);
    signal::end()?.await;
    shut_down(&entry, server, &close).await;
    Ok(())
}

/// Drains the requests in progress, within the grace period. `close` ends the task `server`.
pub async fn shut_down(entry: &Entry, server: task::JoinHandle<()>, close: &watch::Sender<bool>) {
    let drain_started = entry.now();
    event!(entry.logger, Event::Draining; "running" => entry.requests_in_progress());
    let grace_period = entry.options.grace_period;
    entry.start_shutdown(drain::Schedule::new(drain_started, UNREADY_TIME, grace_period));
    time::sleep(UNREADY_TIME.duration()).await;
    close.send_replace(true);
    drop(server.await);
    await_ends(entry, drain_started).await;
}

fn serve_endpoints(entry: &Rc<Entry>) -> Result<(), Error> {
    let options = &entry.options;
    let endpoints = [
        (Some(options.ready_address), Endpoint::Ready),
        (options.metrics_address, Endpoint::Metrics),
        (Some(options.peer_address), Endpoint::Snapshot),
    ];
    for (address, endpoint) in endpoints {
        let Some(address) = address else { continue };
        let listener = socket::listen(address).map_err(|error| Error::Bind(address, error))?;
        task::spawn_local(endpoint::serve(entry.clone(), listener, endpoint));
    }
    Ok(())
}

async fn start_gossip(entry: &Rc<Entry>) -> Result<(), Error> {
    let address = entry.options.peer_address;
    let socket = UdpSocket::bind(address).await.map_err(|error| Error::Bind(address, error))?;
    let socket = Rc::new(socket);
    task::spawn_local(gossip::send(entry.clone(), socket.clone()));
    task::spawn_local(gossip::receive(entry.clone(), socket));
    Ok(())
}

async fn await_ends(entry: &Entry, drain_started: unit::Millis) {
    let deadline = drain_started + entry.options.grace_period.saturating_sub(GRACE_MARGIN);
    // A connection ends after its last response has been written to the socket.
    let is_busy = || entry.requests_in_progress() + entry.open_connections() > 0;
    while is_busy() && entry.now() < deadline {
        time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    if is_busy() {
        event!(entry.logger, Event::DrainTimedOut; "running" => entry.requests_in_progress(),
            "connections" => entry.open_connections());
    } else {
        event!(entry.logger, Event::Drained; "took" => %entry.now().saturating_sub(drain_started));
    }
}
