//! Platform adapters: the header format of requests and responses, and the API of ranks.

use std::net::SocketAddr;

use agateflow::direct::response::Signs;
use agateflow::lockstep::report::{Order, Report};
use agateflow::{id, unit};
use http::{HeaderMap, request, response};

use crate::notice::Notice;

/// What the headers of a caller's request say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Id of the caller's attempt.
    pub id: Box<str>,
    /// Key of the caller's team.
    pub key: Option<Box<str>>,
    /// How long the caller waits.
    pub caller_timeout: Option<unit::Millis>,
    /// Last event of the stream that the caller received.
    pub last_event: Option<u64>,
    /// Ids of the parts of the prompt that other requests may share, in order.
    pub prompt_parts: Box<[Box<str>]>,
}

/// What an entry sends to an upstream along with a request.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// VM that the request is meant for.
    pub upstream: &'a id::Vm,
    /// Time until the deadline.
    pub time_left: unit::Millis,
    /// The caller's team.
    pub team: Option<&'a id::Team>,
    /// Last event of the stream that the caller received.
    pub last_event: Option<u64>,
}

/// Header format of a platform.
pub trait Dialect {
    /// Reads a caller's request.
    fn parse_request(&self, head: &request::Parts) -> Head;

    /// Writes `forward` into the headers of a request to an upstream.
    fn write_forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>);

    /// Reads what the head of a response says of a request that was sent to `upstream`.
    fn read_signs(&self, head: &response::Parts, info: &Head, upstream: &id::Vm) -> Signs;

    /// Reads what the upstream says of itself in a response.
    fn parse_notice(&self, head: &response::Parts) -> Notice;
}

/// How often a rank chose each expert, one expert set after another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Counters since the rank started.
    pub counts: Vec<u64>,
}

/// Reply of a rank to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The order is in progress or already in effect.
    Taken,
    /// The rank's state does not allow the order.
    Refused(Box<str>),
}

/// Failed call to a rank. An order may still take effect, immediately or later.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct RankError(pub Box<str>);

/// Client of a rank of a lock-step group.
pub trait Rank: Sized + 'static {
    /// Creates a client of another rank, at `address`.
    fn with_address(&self, address: SocketAddr) -> Self;

    /// Reads the rank's state.
    fn read_report(&mut self) -> impl Future<Output = Result<Report, RankError>>;

    /// Reads the experts held under the current map, by set.
    fn read_experts(&mut self) -> impl Future<Output = Result<Vec<Vec<u16>>, RankError>>;

    /// Reads the counters.
    fn read_counts(&mut self) -> impl Future<Output = Result<Counts, RankError>>;

    /// Sends an order to the rank.
    fn send_order(&mut self, order: &Order) -> impl Future<Output = Result<Receipt, RankError>>;
}
