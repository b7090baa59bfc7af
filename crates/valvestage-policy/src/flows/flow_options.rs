//! Options of the flow director.

/// Switches for the layers that find a flow's backend server; all are on in production.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowLayers {
    /// Uses the token that the caller echoes.
    pub token: bool,
    /// Relays packets to the home balancer. If off, each balancer is home of the flows that reach
    /// it.
    pub home: bool,
    /// Keeps a table of flows.
    pub table: bool,
    /// Asks the former home of a flow after a change of membership.
    pub former_home: bool,
    /// Checks that the backend server belongs to the packet's service.
    pub service_check: bool,
    /// Ignores configurations that are older than the one in force.
    pub newest_only: bool,
}

impl Default for FlowLayers {
    fn default() -> Self {
        Self {
            token: true,
            home: true,
            table: true,
            former_home: true,
            service_check: true,
            newest_only: true,
        }
    }
}

/// Options of the flow director.
#[derive(Debug, Clone, Copy, Default)]
pub struct FlowOptions {
    /// Layers that are in use.
    pub layers: FlowLayers,
    /// Initial capacity of the table, in flows.
    pub expected_flows: usize,
}
