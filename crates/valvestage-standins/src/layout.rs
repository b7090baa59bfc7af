//! Addresses and settings of a whole deployment on one machine.

mod addresses;
mod deployments;
mod layout_file;
mod settings_files;

pub use addresses::AddressPool;
pub use deployments::{DeploymentPlan, ServicePlan, find_plan};
pub use layout_file::{BalancerLayout, Layout};
pub use settings_files::write_layout;
