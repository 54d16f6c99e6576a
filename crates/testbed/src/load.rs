//! Open-loop load: requests start when they are due, whether or not earlier ones were answered, and
//! latency counts from when they were due.
