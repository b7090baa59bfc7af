//! Tests of the admission of new flows during a shortage.

mod callers;
mod few_flows;
mod fleet_model;
mod independent_balancers;
mod shares;
mod verdicts;
