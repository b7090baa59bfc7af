//! The steps at which a fault strikes, the columns of the matrix.

/// What has just happened when the fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// The home of a new flow has sent its opening packet on.
    FlowOpening,
    /// A flow is answered by its backend server.
    FlowEstablished,
    /// A request that must not be repeated has reached its owner.
    RequestAccepted,
    /// It was sent to a backend server.
    RequestDispatched,
    /// A backend server has started it.
    RequestRunning,
    /// Its answer is on the way to the owner.
    RequestAnswered,
    /// A configuration change was sent to the platform.
    ChangeSent,
    /// It is in force on the first balancer.
    ChangeInForce,
    /// A drain is in force on the first balancer.
    DrainInForce,
    /// An availability zone's stop is in force on the first balancer.
    ZoneStopInForce,
    /// An owner announces its planned stop.
    StopAnnounced,
    /// It has offered its claims to the next owner.
    StopOffered,
    /// It has written the owner map.
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

    /// The planned change that the scenario makes for this step.
    pub fn change(self) -> Change {
        match self {
            Self::FlowOpening
            | Self::FlowEstablished
            | Self::RequestAccepted
            | Self::RequestDispatched
            | Self::RequestRunning
            | Self::RequestAnswered => Change::None,
            Self::ChangeSent | Self::ChangeInForce => Change::Weight,
            Self::DrainInForce => Change::Drain,
            Self::ZoneStopInForce => Change::StopZone,
            Self::StopAnnounced | Self::StopOffered | Self::StopWritten => Change::StopBalancer,
        }
    }
}

/// A planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    None,
    Weight,
    Drain,
    StopZone,
    StopBalancer,
}
