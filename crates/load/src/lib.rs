//! Load generator, experiments and capacity measurements
