//! Options of the flow director.

/// `FlowLayers` switches the layers that find a flow's backend server; all are on in production.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowLayers {
    /// Steer by the token that the caller echoes.
    pub token: bool,
    /// Relay to the home balancer; off, every balancer is home of what reaches it.
    pub home: bool,
    /// Keep a table of flows.
    pub table: bool,
    /// Ask the former home after a change of membership.
    pub former_home: bool,
    /// Check that the backend server serves the packet's service.
    pub service_check: bool,
    /// Ignore configurations that are older than the one in force.
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

/// `FlowOptions` bounds what the director keeps.
#[derive(Debug, Clone, Copy, Default)]
pub struct FlowOptions {
    /// Layers in use.
    pub layers: FlowLayers,
    /// Flows that the table has room for at the start.
    pub expected_flows: usize,
}
