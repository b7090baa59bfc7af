//! Definition of the command line.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

use bpaf::Bpaf;
use valvestage_policy::operations::{Intent, NewBackend};
use valvestage_story::LogQuery;

/// Plans and confirms changes, shows status, explains decisions.
///
/// Exit codes: 0 done, 1 failed, 2 wrong command line or file, 3 refused or another change came
/// first, 4 the operators' API or the platform cannot be reached.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    /// Address of the operators' API
    #[bpaf(long, env("VALVESTAGE_OPERATOR"), argument("ADDRESS"), optional)]
    pub operator: Option<String>,
    /// File with the operators' bearer token
    #[bpaf(long, env("VALVESTAGE_TOKEN_FILE"), argument("FILE"), optional)]
    pub token_file: Option<PathBuf>,
    /// Print JSON instead of sentences
    #[bpaf(long)]
    pub json: bool,
    #[bpaf(external)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Create the first configuration from a deployment file
    #[bpaf(command)]
    Bootstrap {
        /// Deployment file (TOML)
        #[bpaf(long, argument("FILE"))]
        deployment: PathBuf,
    },
    /// Show what a change would do, without making it
    #[bpaf(command)]
    Plan {
        #[bpaf(external)]
        change: Change,
    },
    /// Carry a plan out
    #[bpaf(command)]
    Confirm {
        /// Id of the plan
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Show the balancers and which configuration version each of them has
    #[bpaf(command)]
    Status,
    /// Explain why something was decided
    #[bpaf(command)]
    Why {
        #[bpaf(external)]
        question: Question,
    },
    /// Create a key that signs all new flow tokens
    #[bpaf(command)]
    RotateKeys,
}

/// The changes that can be planned.
#[derive(Debug, Clone, Bpaf)]
pub enum Change {
    /// Add a backend server
    #[bpaf(command)]
    Add {
        /// Service that it joins
        #[bpaf(long, argument("SERVICE"))]
        service: String,
        /// Availability zone of its VM
        #[bpaf(long, argument("ZONE"))]
        zone: String,
        /// Address of its VM
        #[bpaf(long, argument("ADDRESS"))]
        address: SocketAddr,
        /// Maximum number of concurrent requests
        #[bpaf(long, argument("COUNT"))]
        slots: u16,
        /// Maximum number of concurrent flows
        #[bpaf(long, argument("COUNT"), fallback(2000))]
        connections: u16,
        /// Share of new work relative to the other backend servers of the service
        #[bpaf(long, argument("SHARE"), fallback(100))]
        weight: u16,
        /// Name of the backend server
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Give a backend server no new work
    #[bpaf(command)]
    Drain {
        /// Name of the backend server
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Give a draining backend server new work again
    #[bpaf(command)]
    Resume {
        /// Name of the backend server
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Remove a drained backend server from the configuration
    #[bpaf(command)]
    Remove {
        /// Name of the backend server
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Change a backend server's share of new work
    #[bpaf(command)]
    Weight {
        /// Name of the backend server
        #[bpaf(positional("NAME"))]
        name: String,
        /// New share, 0 to 65535; 100 is usual
        #[bpaf(positional("SHARE"))]
        weight: u16,
    },
    /// Give the backend servers of an availability zone no new work
    #[bpaf(command)]
    StopZone {
        /// Name of the availability zone
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
    /// Give the backend servers of an availability zone new work again
    #[bpaf(command)]
    ResumeZone {
        /// Name of the availability zone
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
}

impl Change {
    /// Converts the change to the intent that the API accepts.
    pub fn intent(&self) -> Intent {
        match self.clone() {
            Self::Add { service, zone, address, slots, connections, weight, name } => {
                Intent::AddBackend(NewBackend {
                    name,
                    service,
                    zone,
                    address,
                    slots,
                    connections,
                    weight,
                })
            }
            Self::Drain { name } => Intent::DrainBackend { name },
            Self::Resume { name } => Intent::ResumeBackend { name },
            Self::Remove { name } => Intent::RemoveBackend { name },
            Self::Weight { name, weight } => Intent::SetWeight { name, weight },
            Self::StopZone { zone } => Intent::StopZone { zone },
            Self::ResumeZone { zone } => Intent::ResumeZone { zone },
        }
    }
}

/// What can be explained.
#[derive(Debug, Clone, Bpaf)]
pub enum Question {
    /// A flow
    #[bpaf(command)]
    Flow {
        /// Address of the caller
        #[bpaf(long, argument("ADDRESS"))]
        caller: SocketAddr,
        /// Name of the service
        #[bpaf(long, argument("SERVICE"))]
        service: String,
    },
    /// A request
    #[bpaf(command)]
    Request {
        /// Id of the request, hexadecimal
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// A change of the configuration
    #[bpaf(command)]
    Change {
        /// Configuration version that the change produced
        #[bpaf(positional("VERSION"))]
        version: u64,
    },
    /// A flow, backend server or configuration, from logs of valvestage-entry
    #[bpaf(command)]
    Log {
        #[bpaf(external(log_subject))]
        subject: LogSubject,
        /// Log files; without any, standard input is read
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// The owner of a service
    #[bpaf(command)]
    Service {
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        name: String,
    },
}

/// What logs are searched for.
#[derive(Debug, Clone, Bpaf)]
pub enum LogSubject {
    /// Address and port of a flow's caller
    Caller(#[bpaf(long("caller"), argument("ADDRESS"))] SocketAddrV4),
    /// Hex digits of a backend server's id
    Backend(#[bpaf(long("backend"), argument("ID"))] String),
    /// Version of a configuration
    Version(#[bpaf(long("version"), argument("VERSION"))] u64),
}

impl From<LogSubject> for LogQuery {
    fn from(subject: LogSubject) -> Self {
        match subject {
            LogSubject::Caller(address) => Self::Flow(address),
            LogSubject::Backend(id) => Self::Backend(id),
            LogSubject::Version(version) => Self::Version(version),
        }
    }
}

impl Question {
    /// Returns the query string for the API; empty for a question that is answered from logs.
    pub fn query(&self) -> String {
        match self {
            Self::Log { .. } => String::new(),
            Self::Flow { caller, service } => format!("caller={caller}&service={service}"),
            Self::Request { id } => format!("request={id}"),
            Self::Change { version } => format!("change={version}"),
            Self::Service { name } => format!("service={name}"),
        }
    }
}
