//! Strategies for finding the backend server of a flow.

use valvestage_policy::flows::FlowLayers;

/// Strategy for finding the backend server of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowStrategy {
    /// Hash modulo the number of eligible backend servers.
    Modulo,
    /// Rendezvous hashing alone.
    Hash,
    /// Rendezvous hashing, and a table on each balancer.
    LocalTable,
    /// Flow table at the home balancer, without queries to the former home and without copies of
    /// exceptions.
    Home,
    /// Home balancer, former home and copies of exceptions, for callers that do not echo tokens.
    HomeAndHistory,
    /// Tokens alone, for callers that echo them.
    Token,
    /// All layers, for callers that echo tokens.
    All,
}

impl FlowStrategy {
    /// All strategies, in the order of the table.
    pub const ALL: [Self; 7] = [
        Self::Modulo,
        Self::Hash,
        Self::LocalTable,
        Self::Home,
        Self::HomeAndHistory,
        Self::Token,
        Self::All,
    ];

    /// Returns the name of the strategy in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Modulo => "modulo hash",
            Self::Hash => "rendezvous hash",
            Self::LocalTable => "hash + local table",
            Self::Home => "home table",
            Self::HomeAndHistory => "home + former home + exceptions (no echo)",
            Self::Token => "token alone",
            Self::All => "all layers (echo)",
        }
    }

    /// Returns the layers of the flow director that the strategy enables.
    pub fn layers(self) -> FlowLayers {
        let none = FlowLayers {
            token: false,
            home: false,
            table: false,
            former_home: false,
            ..FlowLayers::default()
        };

        match self {
            Self::Modulo | Self::Hash => none,
            Self::LocalTable => FlowLayers { table: true, ..none },
            Self::Home => FlowLayers { home: true, table: true, ..none },
            Self::HomeAndHistory => FlowLayers { token: false, ..FlowLayers::default() },
            Self::Token => FlowLayers { token: true, ..none },
            Self::All => FlowLayers::default(),
        }
    }

    /// Reports whether exceptions are copied to other balancers.
    pub fn copies_exceptions(self) -> bool {
        matches!(self, Self::HomeAndHistory | Self::All)
    }

    /// Reports whether callers echo the token.
    pub fn echoes_token(self) -> bool {
        matches!(self, Self::Token | Self::All)
    }
}
