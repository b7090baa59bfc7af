//! The ways that are compared.

use valvestage_policy::flows::FlowLayers;

/// `FlowWay` is a way to find a flow's backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowWay {
    /// Hash modulo the number of backend servers.
    Modulo,
    /// Rendezvous hashing alone.
    Hash,
    /// Rendezvous hashing, and a table on each balancer.
    LocalTable,
    /// Home balancer with its table, without asking the former one or copies.
    Home,
    /// Home balancer, former home and copies of exceptions; for callers that don't echo.
    HomeAndHistory,
    /// Token alone, for callers that echo.
    Token,
    /// Everything, for callers that echo.
    All,
}

impl FlowWay {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::Modulo,
        Self::Hash,
        Self::LocalTable,
        Self::Home,
        Self::HomeAndHistory,
        Self::Token,
        Self::All,
    ];

    /// Its name in tables.
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

    /// The layers that it uses.
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

    /// Whether exceptions are copied.
    pub fn copies(self) -> bool {
        matches!(self, Self::HomeAndHistory | Self::All)
    }

    /// Whether callers echo the token.
    pub fn echoes(self) -> bool {
        matches!(self, Self::Token | Self::All)
    }
}
