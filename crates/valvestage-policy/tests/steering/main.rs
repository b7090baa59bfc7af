//! Steering of packets whose flows only their two ends can read.

mod backend_health;
mod deployment;
mod directory;
mod ended_flows;
mod fixtures;
mod fleet;
mod flow_record;
mod follower;
mod keepers;
mod lapses;
mod large_answers;
mod links;
mod outliers;
mod pace;
mod packets;
mod pauses;
mod peers;
mod rebirths;
mod requests;
mod restarts;
mod silent_connections;
mod successors;
mod watch_role;
mod zone_shares;
