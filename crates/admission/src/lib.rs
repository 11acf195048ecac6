//! Pure decisions about which request may run now: slots, classes, shedding.
