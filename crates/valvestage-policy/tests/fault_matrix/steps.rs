//! Steps at which a fault is injected, which are the columns of the matrix.

/// Event that triggers the injection of the fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// A balancer has forwarded the opening packet of a flow to a backend server.
    FlowOpening,
    /// A backend server has accepted a packet of a flow and answers it.
    FlowEstablished,
    /// A non-repeatable request has reached its owner.
    RequestAccepted,
    /// The owner has dispatched a non-repeatable request to a backend server.
    RequestDispatched,
    /// A backend server has started a non-repeatable request.
    RequestRunning,
    /// A backend server has finished a non-repeatable request and sends the answer to the owner.
    RequestAnswered,
    /// An operator writes a configuration change to the platform.
    ChangeSent,
    /// A configuration change is in force on the first balancer.
    ChangeInForce,
    /// A drain is in force on the first balancer.
    DrainInForce,
    /// The stop of an availability zone is in force on the first balancer.
    ZoneStopInForce,
    /// An owner announces its planned stop.
    StopAnnounced,
    /// The stopping owner has offered its claims to the next owner.
    StopOffered,
    /// The stopping owner has the result of its write of the owner map.
    StopWritten,
}

impl Step {
    pub const ALL: [Self; 13] = [
        Self::FlowOpening,
        Self::FlowEstablished,
        Self::RequestAccepted,
        Self::RequestDispatched,
        Self::RequestRunning,
        Self::RequestAnswered,
        Self::ChangeSent,
        Self::ChangeInForce,
        Self::DrainInForce,
        Self::ZoneStopInForce,
        Self::StopAnnounced,
        Self::StopOffered,
        Self::StopWritten,
    ];

    pub fn label(self) -> &'static str {
        match self {
            Self::FlowOpening => "flow opening",
            Self::FlowEstablished => "flow established",
            Self::RequestAccepted => "request accepted",
            Self::RequestDispatched => "request dispatched",
            Self::RequestRunning => "request running",
            Self::RequestAnswered => "request answered",
            Self::ChangeSent => "change sent",
            Self::ChangeInForce => "change in force",
            Self::DrainInForce => "drain in force",
            Self::ZoneStopInForce => "zone stop in force",
            Self::StopAnnounced => "stop announced",
            Self::StopOffered => "stop offered",
            Self::StopWritten => "stop written",
        }
    }

    /// Returns the planned change that the scenario makes to reach this step.
    pub fn planned_change(self) -> PlannedChange {
        match self {
            Self::FlowOpening
            | Self::FlowEstablished
            | Self::RequestAccepted
            | Self::RequestDispatched
            | Self::RequestRunning
            | Self::RequestAnswered => PlannedChange::None,
            Self::ChangeSent | Self::ChangeInForce => PlannedChange::Weight,
            Self::DrainInForce => PlannedChange::Drain,
            Self::ZoneStopInForce => PlannedChange::StopZone,
            Self::StopAnnounced | Self::StopOffered | Self::StopWritten => {
                PlannedChange::StopBalancer
            }
        }
    }
}

/// Planned change in a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannedChange {
    None,
    Weight,
    Drain,
    StopZone,
    StopBalancer,
}
