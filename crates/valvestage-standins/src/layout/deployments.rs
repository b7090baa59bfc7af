//! The sizes of the two deployments of the brief.

/// `ServicePlan` is the size of one service.
#[derive(Debug, Clone, Copy)]
pub struct ServicePlan {
    /// Its name.
    pub name: &'static str,
    /// Its backend servers, spread over the zones in turn.
    pub backends: usize,
    /// Slots of each.
    pub slots: u16,
    /// Connections of each.
    pub connections: u16,
}

/// `DeploymentPlan` is the size of one deployment.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentPlan {
    /// Its region.
    pub name: &'static str,
    /// Its availability zones.
    pub zones: &'static [&'static str],
    /// Its balancers, spread over the zones in turn.
    pub balancers: usize,
    /// Its services.
    pub services: &'static [ServicePlan],
}

const PLANS: [DeploymentPlan; 2] = [
    DeploymentPlan {
        name: "bzh-ouest",
        zones: &["brest-a", "quimper-b", "lorient-c"],
        balancers: 8,
        services: &[
            ServicePlan { name: "rencontre-core", backends: 14, slots: 3, connections: 2_000 },
            ServicePlan { name: "photo-store", backends: 4, slots: 3, connections: 2_000 },
        ],
    },
    DeploymentPlan {
        name: "rs-sul",
        zones: &["poa-a", "poa-b", "canoas", "gravatai"],
        balancers: 8,
        services: &[
            ServicePlan { name: "escuta", backends: 14, slots: 2, connections: 2_000 },
            ServicePlan { name: "ondas", backends: 4, slots: 2, connections: 2_000 },
        ],
    },
];

/// `find_plan` gives a deployment by the name of its region.
#[must_use]
pub fn find_plan(name: &str) -> Option<&'static DeploymentPlan> {
    PLANS.iter().find(|plan| plan.name == name)
}
