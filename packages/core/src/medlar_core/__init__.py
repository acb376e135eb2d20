"""Decision logic of the balancer and the agent, without I/O."""
