//! Flows whose binding cannot be derived from the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use valvestage_core::Configuration;
use valvestage_core::ids::{BackendId, BalancerId, ServiceId};

use super::configuration_history::ConfigurationHistory;
use super::flow_packet::Binding;
use super::placement::place;
use crate::membership::LiveView;

/// Finds the bindings that have to be copied to other balancers.
///
/// The binding of a flow to the backend server on which the configuration in force places it needs
/// no copy: any balancer that becomes the flow's home computes the same placement. Only the other
/// bindings, the exceptions, are copied to the balancers that may become home.
#[derive(Debug)]
pub struct ExceptionFinder {
    own: BalancerId,
    configuration: Arc<Configuration>,
    view: LiveView,
    /// Service of each backend server in any kept configuration version.
    services: BTreeMap<BackendId, ServiceId>,
}

impl ExceptionFinder {
    /// Takes a snapshot of the configuration versions and the view. Returns `None` before the first
    /// configuration.
    #[must_use]
    pub fn new(own: BalancerId, history: &ConfigurationHistory, view: LiveView) -> Option<Self> {
        let configuration = history.current()?.clone();

        Some(Self { own, configuration, view, services: history.backend_services() })
    }

    /// Returns the bindings to copy to each balancer.
    #[must_use]
    pub fn copies(&self, bindings: &[Binding]) -> BTreeMap<BalancerId, Vec<Binding>> {
        let mut copies: BTreeMap<BalancerId, Vec<Binding>> = BTreeMap::new();

        for binding in bindings.iter().filter(|binding| self.is_exception(binding)) {
            for target in self.targets(binding) {
                copies.entry(target).or_default().push(*binding);
            }
        }

        copies
    }

    fn is_exception(&self, binding: &Binding) -> bool {
        let Some(service) = self.services.get(&binding.backend) else {
            return false;
        };
        let placed = place(&self.configuration, *service, binding.key, |_| true);

        placed != Some(binding.backend)
    }

    /// Returns the present home, which need not be this balancer any more, and the next one in
    /// rank.
    fn targets(&self, binding: &Binding) -> impl Iterator<Item = BalancerId> {
        let home = self.view.home(binding.key);
        let next = self.view.home_without(binding.key, home);

        [home, next].into_iter().flatten().filter(|id| *id != self.own)
    }
}
