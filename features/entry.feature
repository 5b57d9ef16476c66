Feature: Routes, registration of runners, expert maps and calls to the leader

  A request must not be routed by an invalid document or to a runner that has
  left, and no two ranks of a group may use different maps in one pass.

  Scenario Outline: The route with the longest matching prefix is selected
    Given routes for a.example at / and /x/ and /x/y/
    Then a request for <host> with the path <path> matches the route <route>

    Examples:
      | host      | path   | route |
      | a.example | /x/y/2 | /x/y/ |
      | a.example | /x/y   | /x/   |
      | A.example | /x/    | /x/   |
      | a.example | /z     | /     |
      | b.example | /x/    | none  |

  Scenario Outline: An invalid routes document is rejected as a whole
    Given a routes document whose <fault>
    Then it is rejected as a whole with code 1502

    Examples:
      | fault                            |
      | route names an unknown service   |
      | routes share a host and a prefix |
      | weights add up to zero           |
      | time-out is zero                 |
      | teams share a key                |
      | text is truncated                |

  Scenario: The highest version of the routes stays in force
    Given an empty replicated state
    When routes of the versions 3, 7, 5, 7 and 6 are put in this order
    Then version 7 with its first content is in force, also after a snapshot

  Scenario: A runner that left is never registered again, and its address may be reused
    Given an empty replicated state
    When a runner registers, leaves, and its delayed heartbeat is received
    Then it has left
    When another runner registers at the address of a live one
    Then the live one has left and the other is ready

  Scenario Outline: A delayed heartbeat does not override a newer one
    Given a leader's registry
    When a runner reports <first> with number 5 and then <second> with number <n>
    Then the registration has state <state>

    Examples:
      | first    | second   | n | state    |
      | draining | ready    | 4 | draining |
      | ready    | draining | 6 | draining |
      | draining | ready    | 6 | ready    |

  Scenario Outline: One map in every pass, with orders that are <fault>
    Given a group of 4 engines whose demand shifts every second
    When sidecars and a leader change its maps for 40 s with orders <fault>
    Then no forward pass used two maps
    And the maps were changed at least <changes> times
    And no rank is held at the end

    Examples:
      | fault                                          | changes |
      | carried out at once                            | 8       |
      | lost 3 in 10 times                             | 4       |
      | unanswered and delayed by 2 to 12 s            | 1       |
      | carried out while the leader changes every 3 s | 3       |
      | delayed while the leader changes every 3 s     | 1       |
      | delayed while the leader changes every 0.7 s   | 1       |

  Scenario: Orders are sent as soon as the last rank has reported
    Given a group of 4 engines whose demand shifts every second
    When sidecars and a leader change its maps for 40 s with orders carried out at once
    Then the median change took at most 0.35 s from its plan to its use
    And a change took at most 100 reports on average

  Scenario: An order that is lost in transit is sent again in the reply to a report
    Given a group of 4 engines whose demand shifts every second
    When sidecars and a leader change its maps for 40 s with half of the pushes lost and sidecars that report every 0.5 s
    Then no forward pass used two maps
    And the maps were changed at least 30 times
    And the group was stalled for at most 0.3 s per change

  Scenario: Unanswered orders hardly stall a group
    Given a group of 4 engines whose demand shifts every second
    When sidecars and a leader change its maps for 40 s with orders unanswered and delayed by 2 to 12 s
    Then the group was stalled for at most 0.1 s per change

  Scenario Outline: A freeze right after a hold hardly stalls a group: <frozen>
    Given a group of 4 engines whose demand shifts every second
    When sidecars and a leader change its maps for 40 s with <frozen> frozen for 4 s after each hold
    Then the group was stalled for at most <most> s in total
    And no forward pass used two maps
    And the maps were changed at least <changes> times

    Examples:
      | frozen                        | most | changes |
      | the sidecar, and no other box | 8    | 4       |
      | the box                       | 1    | 20      |

  Scenario: The death of a rank begins a new epoch and ends the change in progress
    Given a group of 4 engines whose demand shifts every second
    When sidecars and a leader change its maps for 40 s with ranks failing every 5 s
    Then no forward pass used two maps
    And no rank is held at the end

  Scenario Outline: The retry budget applies across all gateways
    Given <gateways> gateways that share a retry budget of 0.2 and 96 in 10 s
    When each sends <requests> requests in 20 s and retries as many as allowed
    Then no window of 10 s has more retries than the budget

    Examples:
      | gateways | requests |
      | 1        | 10       |
      | 10       | 100      |
      | 37       | 300      |

  Scenario: The rate of log lines is limited, and dropped lines are counted
    Given a log sink that allows 10 lines a second
    When 100 lines are logged at once, and one more 3 s later
    Then 21 lines and one that reports 80 dropped lines were written

  Scenario: Logging does not wait for a reader that has stopped reading
    Given a log sink that allows 10 lines a second
    When its reader stops reading and 5 lines are logged
    Then 4 of them are counted as dropped

  Scenario: After a loss of power, entries find the leader by a seed with no disk
    Given 4 entries of which 3 have a disk, with routes in force
    When all are killed and restart with only the fourth as their seed
    Then all 4 are ready again within 15 s

  Scenario: An entry with a lost disk joins as a new voter and keeps the routes
    Given 4 entries of which 3 have a disk, with routes in force
    When an entry is killed, its disk is emptied, and it restarts
    Then it is a voter within 15 s, with a new identity

  # Guards against limits for callers that lock operators and runners out.
  Scenario: Limits for callers do not bound operators and runners
    Given 4 entries of which 3 have a disk, with routes in force
    When routes that limit callers to 64 bytes are in force
    Then the same routes are accepted again at each entry
    And so are newer ones, and the heartbeat of a runner

  # Guards against documents that no reader of JSON accepts and that are in force.
  Scenario Outline: A configuration with bytes that are not UTF-8 in <where> is refused
    Given an entry that takes configurations of the platform
    When it gets a configuration with bytes that are not UTF-8 in <where>
    Then it refuses it with code 1502, and sends nothing to the leader

    Examples:
      | where                       |
      | a value that it does not use |
      | a name that it does not use  |
      | a value that it uses         |

  Scenario: An unanswered call does not delay other calls to the leader
    Given a leader, and an unresponsive controller that is called first
    When 12 calls begin 0.1 s apart
    Then each is answered within 0.6 s

  Scenario Outline: An order to an engine that <fault> fails without an exception
    Given an engine that <fault>
    When an order is sent to it
    Then the order's outcome is <outcome>

    Examples:
      | fault             | outcome   |
      | is unreachable    | not given |
      | does not respond  | unknown   |
      | rejects the order | refused   |

  Scenario Outline: A planned stop leaves time to complete accepted requests
    Given an entry with a grace period of <grace_s> s and an address TTL of <ttl_s> s
    When it begins a planned stop while a request never ends
    Then it accepts new requests for <accept_s> s and ends after <end_s> s

    Examples:
      | grace_s | ttl_s | accept_s | end_s |
      | 8       | 1     | 3        | 7.5   |
      | 8       | 2     | 3.2      | 7.5   |
      | 4       | 1     | 1.6      | 3.5   |

  Scenario: A leader that responds again gets the next call at once
    Given a leader that is unresponsive for 1 s, and two other controllers
    When calls continue meanwhile, and it sends a delayed reply after 1 s
    Then the next call is answered within 0.3 s

  Scenario: A connection whose SYN packet is dropped is retried
    Given an address with a full accept queue
    When a process connects to it
    Then it retries without waiting for the kernel's retransmission

  Scenario: The platform's names are used only in its folder
    Then nothing outside the folder platform names its headers or calls
    And Python's own platform module is found with that folder on the path
