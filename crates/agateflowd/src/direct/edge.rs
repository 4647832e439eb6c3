//! What differs between platforms: how callers and upstreams write the facts of a request.

use std::net::SocketAddr;

use agateflow::lockstep::report::{Order, Report};
use agateflow::{id, unit};
use http::{HeaderMap, request, response};

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Id of this attempt of the caller.
    pub id: Box<str>,
    /// The caller's key.
    pub key: Option<Box<str>>,
    /// Time for which the caller waits.
    pub time: Option<unit::Millis>,
    /// Last event of the stream that the caller has.
    pub last_event: Option<u64>,
}

/// What an entry tells an upstream of a request.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The upstream that is meant.
    pub upstream: &'a id::Vm,
    /// Time left.
    pub time: unit::Millis,
    /// The caller's team.
    pub team: Option<&'a id::Team>,
    /// Last event of the stream that the caller has.
    pub last_event: Option<u64>,
}

/// What an upstream's answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The answer of the upstream that ran the request.
    Own,
    /// The upstream did not run the request.
    NotRun,
    /// Another upstream has the address; it did not run the request.
    Misdirected,
    /// The answer belongs to another request, or nothing shows that an upstream made it.
    Foreign,
}

/// How a platform writes the facts of requests and answers in headers.
pub trait Dialect {
    /// Reads a caller's request.
    fn request(&self, head: &request::Parts) -> Ask;

    /// Writes what an upstream is told into the headers of the request.
    fn forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>);

    /// Reads an upstream's answer to `ask`.
    fn answer(&self, head: &response::Parts, ask: &Ask) -> Answer;
}

/// Counters of a rank's choices of experts, set after set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counts {
    /// The group's form.
    pub epoch: u64,
    /// The counters since the rank started.
    pub counts: Vec<u64>,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// It is in progress or already holds.
    Taken,
    /// The rank's state does not allow it.
    Refused(Box<str>),
}

/// Why a call to a rank failed. An order may have its effect all the same, at once or later.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct RankError(pub Box<str>);

/// The rank of a lock-step group beside the process.
pub trait Rank: Sized + 'static {
    /// The rank at `address`, beside another process.
    fn other(&self, address: SocketAddr) -> Self;

    /// Reads its state.
    fn report(&mut self) -> impl Future<Output = Result<Report, RankError>>;

    /// Reads the experts that it holds by the map in use, by set.
    fn experts(&mut self) -> impl Future<Output = Result<Vec<Vec<u16>>, RankError>>;

    /// Reads its counters.
    fn counts(&mut self) -> impl Future<Output = Result<Counts, RankError>>;

    /// Gives it an order.
    fn order(&mut self, order: &Order) -> impl Future<Output = Result<Receipt, RankError>>;
}
