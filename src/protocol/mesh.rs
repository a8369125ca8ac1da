//! Messages between nodes: one length-delimited postcard frame each, over one connection a pair.
//!
//! The node that opened the connection sends calls, the other one answers them and reports its
//! load. A call is known by its sequence number within one incarnation of the caller's node, so
//! that it can be asked for again over a new connection.

use crate::protocol::http;
use crate::state::key_rates;
use crate::state::keyspace;
use crate::state::routes;

/// Largest frame, in bytes; above the body limit of the configurations in use.
pub const MAX_FRAME: usize = 80 << 20;

/// Sequence number of a call.
pub type Seq = u64;

/// Message between nodes.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Frame {
    /// First frame in each direction.
    Hello(Hello),
    /// Asks for a request to be run by the backend server beside the receiver.
    Call(Seq, Box<Call>),
    /// The caller has left.
    Cancel(Seq),
    /// Asks after calls whose outcome has not arrived over an earlier connection.
    Resume(Vec<Seq>),
    /// Outcome of a call.
    Reply(Seq, Box<Outcome>),
    /// Backend server beside the sender.
    About(BackendInfo),
    /// Load and state of the sender.
    Load(Load),
    /// Asks for what the receiver knows of the store's items after a revision.
    Want(u64),
    /// Asks for the newest configuration.
    WantConfig,
    /// Items of the store.
    Items(Box<Items>),
    /// Asks for a sign of life.
    Ping,
    /// Answers a ping.
    Pong,
    /// Rates of the keys that the sender's backend server holds, for the planner.
    Heat(Box<HolderRates>),
    /// Asks the receiver to make a call to the platform's store in the sender's place.
    Relay(Seq, Box<StoreRequest>),
    /// Result of a relayed call; `None` if the receiver has no answer either.
    Relayed(Seq, Option<StoreResponse>),
}

/// Introduction of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// Address under which the node is known.
    pub node: String,
    /// Start of the process; a new one for each start.
    pub incarnation: u64,
    /// Failure domain.
    pub domain: String,
}

/// Request on its way to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Call {
    /// Identifier from the caller.
    pub id: String,
    /// Service that is to run it.
    pub service: String,
    /// Service of the host on which the request began.
    pub origin: String,
    /// Route.
    pub route: routes::RouteId,
    /// Whether it may run more than once.
    pub repeat: routes::Repeat,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Latency objective of the route, in milliseconds.
    pub objective_ms: u32,
    /// Key, for services that are divided by key.
    pub key: Option<keyspace::Key>,
    /// Time left until the caller gives up or the route's timeout, in milliseconds.
    pub left_ms: u32,
    /// Time left until the latency objective, in milliseconds; 0 if it has passed.
    pub aim_ms: u32,
    /// Time at which it was sent, by the sender's own clock, in milliseconds.
    pub sent_ms: u64,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header lines to pass on.
    pub headers: Vec<http::Header>,
    /// Body.
    pub body: Vec<u8>,
}

/// Response of a backend server, whole.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header lines to pass on.
    pub headers: Vec<http::Header>,
    /// Body.
    pub body: Vec<u8>,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The backend server's own answer.
    Answered(Response),
    /// Certainly not run.
    NotRun(Failure),
    /// May have run.
    Unknown(Failure),
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Failure {
    /// Reason.
    pub cause: Cause,
    /// Time after which another try may succeed, in milliseconds.
    pub wait_ms: u32,
    /// Whether the request has reached the backend server.
    pub arrived: bool,
}

impl Failure {
    /// Creates a failure of a request that has not reached a backend server.
    #[must_use]
    pub fn before_send(cause: Cause, wait_ms: u32) -> Self {
        Self {
            cause,
            wait_ms,
            arrived: false,
        }
    }

    /// Creates a failure of a request that was sent to a backend server.
    #[must_use]
    pub fn after_send(cause: Cause) -> Self {
        Self {
            cause,
            wait_ms: 0,
            arrived: true,
        }
    }
}

/// Reason for a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Cause {
    /// The queue is too long for the time that is left.
    Full,
    /// The request waited longer than expected and can't end in time any more.
    Expired,
    /// No backend server of the service is beside the node.
    NoBackend,
    /// The backend server is leaving.
    Leaving,
    /// The backend server does not hold the key.
    NotHolder,
    /// Nobody holds the key.
    NoHolder,
    /// The backend server refused it.
    Shed,
    /// Another backend server has the address.
    Misdirected,
    /// No connection to the backend server.
    Connect,
    /// The connection broke off.
    Broken,
    /// The answer was malformed or incomplete.
    Garbled,
    /// No answer in time.
    Timeout,
    /// An answer that had begun did not end in time.
    Endless,
    /// The connection between the nodes was lost.
    LinkLost,
    /// The other node was restarted.
    Restarted,
    /// The node is stopping.
    Stopping,
    /// No node is known that could run it.
    NoNode,
    /// No configuration is known yet.
    NoConfiguration,
}

impl Cause {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Expired => "expired",
            Self::NoBackend => "no_backend",
            Self::Leaving => "leaving",
            Self::NotHolder => "not_holder",
            Self::NoHolder => "no_holder",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Connect => "connect",
            Self::Broken => "broken",
            Self::Garbled => "garbled",
            Self::Timeout => "timeout",
            Self::Endless => "endless",
            Self::LinkLost => "link_lost",
            Self::Restarted => "restarted",
            Self::Stopping => "stopping",
            Self::NoNode => "no_node",
            Self::NoConfiguration => "no_configuration",
        }
    }
}

/// State of the backend server beside a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Health {
    /// None is known, or it has fallen silent.
    #[default]
    Absent,
    /// Takes requests.
    Ready,
    /// Is leaving.
    Leaving,
}

/// Backend server beside a node, as the node tells its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct BackendInfo {
    /// Service of the backend server, empty if there is none.
    pub service: String,
    /// The backend server as a holder of keys.
    pub holder: Option<keyspace::Holder>,
}

/// Load and state of a node, as it tells its peers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// State of the backend server.
    pub health: Health,
    /// Requests that it can run at the same time.
    pub slots: u16,
    /// Requests that it is running.
    pub running: u16,
    /// Requests that wait for it.
    pub queued: u16,
    /// Mean time to run a request, in milliseconds; 0 if it isn't known.
    pub service_ms: f32,
    /// Share of requests that failed there without an answer of use, 0 to 1.
    pub failing: f64,
    /// Time for which it is still slow after its start, in milliseconds.
    pub warmup_ms: u32,
    /// Delay of calls on their way to the node, beyond the usual, in milliseconds.
    pub late_ms: f64,
    /// Whether the node is about to stop.
    pub stopping: bool,
    /// Whether the store answered the node's last call.
    pub store_up: bool,
    /// Version of the configuration in force.
    pub config: routes::Version,
    /// Revision of the newest item of the store that the node knows.
    pub items: u64,
}

/// Item of the store as nodes pass it on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoredItem {
    /// Key.
    pub key: String,
    /// Value, `None` if it was removed.
    pub value: Option<Vec<u8>>,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision of the value from which this one differs by what is told; 0 if all of it is told.
    pub base: u64,
}

/// Items of the store as nodes pass them on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Items {
    /// Whether these are all items that there are.
    pub whole: bool,
    /// Revision after which the changes are told, unless these are all items.
    pub since: u64,
    /// Revision up to which the sender knows all changes; 0 for a configuration alone.
    pub as_of: u64,
    /// Items, in the order of their revisions.
    pub items: Vec<StoredItem>,
}

/// Rates of the keys of one holder.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HolderRates {
    /// Holder.
    pub holder: keyspace::Holder,
    /// Rates.
    pub report: key_rates::KeyRateReport,
}

/// Call to the platform's store, encoded by the adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoreRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Answer of the platform's store, decoded by the adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoreResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}
