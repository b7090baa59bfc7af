//! Sizes of the two predefined deployments.

/// Size of one service.
#[derive(Debug, Clone, Copy)]
pub struct ServicePlan {
    /// Name of the service; the names of its backend servers start with it.
    pub name: &'static str,
    /// Number of its backend servers, distributed over the availability zones in turn.
    pub backends: usize,
    /// Number of requests that each backend server runs at the same time.
    pub slots: u16,
    /// Number of flows that each backend server holds open at most.
    pub connections: u16,
}

/// Size of one deployment.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentPlan {
    /// Name of its region.
    pub name: &'static str,
    /// Names of its availability zones.
    pub zones: &'static [&'static str],
    /// Number of its balancers, distributed over the availability zones in turn.
    pub balancers: usize,
    /// Sizes of its services, which are numbered from 1 in this order.
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

/// Returns the predefined deployment of a region, by the region's name.
#[must_use]
pub fn find_plan(name: &str) -> Option<&'static DeploymentPlan> {
    PLANS.iter().find(|plan| plan.name == name)
}
