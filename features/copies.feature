Feature: Nothing is acknowledged before enough disks hold it

  With one box to be lost, two disks must hold what is acknowledged, and the
  voters that remain must be a quorum.

  # Guards against a configuration that is acknowledged by one voter alone, and
  # gone with its disk.
  Scenario Outline: The <which> loses its disk <after_s> s after the first acknowledgement, <others>
    Given 3 boxes with a disk and 1 without, started <gap_s> s apart
    When routes are sent until they are acknowledged
    And the <which> loses its disk <after_s> s later, <others>
    Then within 15 s the routes are read back, and newer ones are taken

    Examples:
      | which   | after_s | gap_s | others                   |
      | founder | 0       | 0.1   | and the others run on    |
      | founder | 0       | 0.3   | and the others run on    |
      | founder | 0.1     | 0     | and the others run on    |
      | founder | 0.3     | 0.1   | and the others run on    |
      | second  | 0       | 0.1   | and the others run on    |
      | third   | 0       | 0.1   | and the others run on    |
      | founder | 0       | 0.1   | and all others lose power |
      | second  | 0       | 0.1   | and all others lose power |

  Scenario: The first acknowledgement waits for the voters, not longer
    Given 3 boxes with a disk and 1 without, started 0.1 s apart
    When routes are sent until they are acknowledged
    Then that took at most 2 s, and there are 3 voters

  Scenario: A runner that registers early is acknowledged by as many disks
    Given 3 boxes with a disk and 1 without, started 0.1 s apart
    When a heartbeat is sent until it is acknowledged
    Then that took at most 2 s, and there are 3 voters

  Scenario: A box with a disk that never comes is waited for only for a while
    Given 3 boxes with a disk and 1 without, of which the third never starts
    When routes are sent until they are acknowledged
    Then that took at most 6 s, and there are 2 voters

  Scenario: A single disk acknowledges nothing
    Given 3 boxes with a disk and 1 without, of which two never start
    Then no routes are acknowledged within 10 s
    When they start
    Then routes are acknowledged within 4 s, by 3 voters

  # Guards against a moment with fewer voters while a voter is replaced.
  Scenario: A voter that does not respond is replaced by a fourth box
    Given 4 boxes with a disk and 1 without, started 0.1 s apart
    When routes are sent until they are acknowledged
    And a voter is killed that does not lead
    Then the fourth box replaces it, and there are never fewer than 3 voters
