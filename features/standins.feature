Feature: Port allocation and heartbeats of emulated runners

  Features run in parallel, and outgoing connections use ports of the kernel's
  ephemeral range. Neither may conflict with ports of processes under test.

  Scenario: Processes that allocate ports at the same time get different ports
    When 4 processes allocate 300 ports each at the same time
    Then no port is allocated twice
    And no port is in the kernel's ephemeral range
    And each process has a loopback network of its own

  Scenario: An entry accepts the heartbeat of an emulated runner
    When an emulated runner registers with only the required fields
    Then its heartbeat is valid for an entry
