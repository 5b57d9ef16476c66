Feature: Retries stay within a budget that all gateways share

  # Guards against more retries than the budget allows while processes restart,
  # views are partial or old, and several faults overlap.
  Scenario Outline: <count> gateways stay within the retry budget while <fault>
    Given <count> gateways with <per_s> requests a second and a slack of <slack>
    And all attempts at runners fail
    When <fault>, in <runs> runs
    Then no window has more retries than the budget in any run
    And the shares of the slack never add up to more than 1

    Examples:
      | count | per_s | slack | runs | fault                                          |
      | 10    | 42    | 96    | 2    | nothing else happens                           |
      | 37    | 150   | 202   | 2    | nothing else happens                           |
      | 10    | 42    | 96    | 3    | gateways restart three times                   |
      | 37    | 150   | 202   | 2    | gateways restart three times                   |
      | 37    | 150   | 202   | 2    | gateways restart with no leader in a burst     |
      | 37    | 150   | 202   | 2    | all power is lost twice                        |
      | 37    | 150   | 202   | 2    | half of the gateways are cut off               |
      | 37    | 150   | 202   | 2    | most gateways drain                            |
      | 37    | 150   | 202   | 2    | gateways join                                  |
      | 37    | 150   | 202   | 2    | traffic ends                                   |
      | 37    | 150   | 202   | 2    | queued retries are sent at once                |
      | 1     | 10    | 60    | 10   | several faults overlap                         |
      | 10    | 42    | 96    | 20   | several faults overlap                         |
      | 37    | 150   | 202   | 15   | several faults overlap                         |
      | 100   | 400   | 400   | 4    | several faults overlap                         |
      | 10    | 200   | 40    | 2    | all gateways restart after a burst of failures |
      | 37    | 300   | 100   | 2    | all gateways restart after a burst of failures |
      | 10    | 200   | 40    | 20   | several faults overlap                         |
      | 37    | 60    | 120   | 2    | all gateways restart each second               |
      | 37    | 300   | 100   | 6    | one gateway has a lease long before the others |
      | 10    | 400   | 40    | 2    | queued retries are sent at once                |
      | 37    | 150   | 202   | 2    | the only one in view is cut off as others join |

  # Guards against a second quota of a window for a process that has restarted.
  Scenario: The sliding window is used only once its record is complete
    Given a budget of a process that started 9 s ago, with a slack of 20 in 10 s
    Then it allows 0 retries
    And 2 s later it allows 9 retries

  # Guards against the sends of two windows within one.
  Scenario: A retry counts until a window after it was sent
    Given a budget of a process that started 60 s ago, with a slack of 20 in 10 s
    When as many retries as possible are allowed, and sent 4 s later
    Then 9 s later it allows 0 retries
    And 2 s later it allows 9 retries

  # Guards against shares that a new or cut off gateway uses too early or too
  # long, and against shares that add up to more than the slack.
  Scenario Outline: The share of a gateway <after_s> s after <event>
    Given three entries that have held their leases for 15 s
    When <event>, and shares are read <after_s> s later
    Then the first entry has <share> of the slack

    Examples:
      | event                          | after_s | share |
      | nothing else happens           | 1       | 1/3   |
      | the first restarts             | 10      | 0     |
      | the first restarts             | 13      | 1/3   |
      | the first is isolated          | 7       | 1/3   |
      | the first is isolated          | 10      | 0     |
      | the first is isolated for 5 s  | 10      | 1/3   |
      | the first is isolated for 12 s | 20      | 0     |
      | the first is isolated for 12 s | 26      | 1/3   |
      | the second is killed           | 20      | 1/3   |
      | the second is killed           | 40      | 1/2   |
      | the second begins to drain     | 3       | 1/3   |
