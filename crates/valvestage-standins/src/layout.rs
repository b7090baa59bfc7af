//! Addresses and settings files of a whole deployment on the loopback network.

mod addresses;
mod deployments;
mod layout_file;
mod settings_files;

pub use addresses::AddressPool;
pub use deployments::{DeploymentPlan, ServicePlan, find_plan};
pub use layout_file::{BalancerLayout, Layout};
pub use settings_files::write_layout;
