Feature: What the scenarios and the lab start, they start on ports of their own

  Several features run at a time, beside callers whose connections take ports
  from the kernel's range.

  Scenario: Processes that choose ports at the same time share none
    When 4 processes choose 300 ports each at the same time
    Then no port is chosen twice
    And none is from the range that the kernel gives to connections
    And each has a loopback network of its own

  Scenario: An emulated runner says what entries ask of a heartbeat
    When an emulated runner registers and tells nothing besides
    Then its heartbeat is one that an entry takes
