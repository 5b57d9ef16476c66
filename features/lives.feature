Feature: Incarnations of a runner, and messages that are ignored

  A delayed message must not end, revive or move a runner that has restarted
  since, and malformed ones must not change any state.

  # A message is ID ADDRESS START SEQUENCE [STATE], with start 0 for none; the
  # clock begins at 1000 s. A registration is ID ADDRESS START INCARNATION.
  Scenario Outline: <what>
    Given an empty registry
    When the registry receives <messages>
    Then it has registered <registered>, also with a new leader for each message

    Examples: Start times under one id
      | what                                              | messages                      | registered         |
      | a later start is a new incarnation                | a X 990 5, a X 995 1          | a X 995 2          |
      | a later start may have another address            | a X 990 5, a Y 995 1          | a Y 995 2          |
      | an earlier start is ignored                       | a X 995 1, a X 990 9          | a X 995 1          |
      | an earlier start elsewhere is ignored             | a X 995 1, a Y 990 9          | a X 995 1          |
      | a lower sequence number is ignored                | a X 990 5 draining, a X 990 4 | a X 990 1 draining |
      | without starts a lower sequence number is ignored | a X 0 5 draining, a X 0 4     | a X 0 1 draining   |
      | the address changes only with a restart           | a X 990 5, a Y 990 6          | a X 990 1          |
      | without starts the address does not change        | a X 0 5, a Y 0 6              | a X 0 1            |
      | without starts a reset sequence number is ignored | a X 0 9, a X 0 1              | a X 0 1            |
      | the first start is a new incarnation              | a X 0 5, a X 995 1            | a X 995 2          |
      | a message that lacks the start is ignored         | a X 990 5, a X 0 6 draining   | a X 990 1          |
      | a start in the future is refused                  | a X 990 5, a X 9999 1         | a X 990 1          |

    Examples: Ended incarnations
      | what                                            | messages                            | registered |
      | a runner that left stays ended                  | a X 990 5, leave a, a X 990 6       | nothing    |
      | without starts a runner that left stays ended   | a X 0 5, leave a, a X 0 6           | nothing    |
      | a runner that left may restart                  | a X 990 5, leave a, a X 995 1       | a X 995 2  |
      | a start before the leave is ignored             | a X 0 5, leave a, a X 990 6         | nothing    |
      | a start after the leave is registered           | a X 0 5, leave a, a X 1005 1        | a X 1005 2 |
      | a leave may arrive first                        | leave a, a X 990 1                  | nothing    |
      | a leave with a start may arrive first           | leave a 990, a X 990 1              | nothing    |
      | a second leave with a later start is applied    | leave a 990, leave a 995, a X 995 1 | nothing    |
      | after an early leave a restart is registered    | leave a, a X 1005 1                 | a X 1005 1 |
      | a runner that timed out returns                 | a X 990 5, wait 16, a X 990 6       | a X 990 2  |
      | without starts a crashed runner returns         | a X 0 9, wait 16, a Y 0 1           | a Y 0 2    |
      | a runner that lost its start returns            | a X 990 9, wait 16, a X 0 1         | a X 0 2    |
      | a runner that left after a time-out stays ended | a X 0 9, wait 16, leave a, a X 0 10 | nothing    |

    Examples: Runners at one address
      | what                                                      | messages                           | registered |
      | a later start gets the address                            | a X 990 5, b X 995 1               | b X 995 1  |
      | an earlier start does not get it back                     | a X 990 5, b X 995 1, a X 990 6    | b X 995 1  |
      | an unknown runner with an earlier start does not get it   | b X 995 1, a X 990 6               | b X 995 1  |
      | nor does it once the later runner has left                | b X 995 1, leave b, a X 990 6      | nothing    |
      | without starts the later registration gets it             | a X 0 5, b X 0 1                   | b X 0 1    |
      | without starts the earlier runner does not get it back    | a X 0 5, b X 0 1, a X 0 6          | b X 0 1    |
      | without starts the earlier runner returns once it is free | a X 0 5, b X 0 1, leave b, a X 0 6 | a X 0 2    |
      | but not by a message that was sent before                 | a X 0 5, b X 0 1, leave b, a X 0 4 | nothing    |
      | a runner without a start does not replace one with it     | a X 990 5, b X 0 1                 | a X 990 1  |
      | a runner with a start replaces one without it             | a X 0 5, b X 995 1                 | b X 995 1  |
      | a restart replaces an earlier runner                      | a X 990 5, b Y 991 1, a Y 995 1    | a Y 995 2  |

    Examples: Delayed leaves
      | what                                                | messages                                  | registered |
      | a leave of an earlier incarnation is ignored        | a X 990 5, a X 995 1, leave a 990         | a X 995 2  |
      | a leave without a start is refused after a restart  | a X 990 5, a X 995 1, leave a             | a X 995 2  |
      | a leave without a start is accepted later           | a X 990 5, a X 995 1, wait 11, leave a    | nothing    |
      | a leave from a box with an outdated view is ignored | a X 990 5, a X 995 1, wait 11, leave a #1 | a X 995 2  |
      | a draining runner may leave after a restart         | a X 990 5, a X 995 1 draining, leave a    | nothing    |
      | a leave with the current start is accepted          | a X 990 5, a X 995 1, leave a 995         | nothing    |
      | a first incarnation may leave at once               | a X 995 1, leave a                        | nothing    |

  Scenario: A leader remembers sequence numbers of unchanged heartbeats
    Given an empty registry
    When the registry receives a X 0 1, a X 0 9, a X 0 4, a X 0 6 draining
    Then it has registered a X 0 1 with one leader for all messages

  Scenario Outline: A <message> of an earlier incarnation that is committed late is ignored
    Given a replicated state in which a runner has restarted
    When a <message> of its earlier incarnation is committed afterwards
    Then the new incarnation is still registered

    Examples:
      | message   |
      | heartbeat |
      | leave     |

  Scenario: A leave of an earlier incarnation, proposed before any registration, is ignored
    Given a replicated state in which a runner has restarted
    When a leave with an earlier start, proposed on an empty state, is committed
    Then the new incarnation is still registered

  Scenario: Messages in any order leave the newest incarnation registered
    Given messages of runners that restart, at few addresses
    When they arrive in any order, repeatedly, and with changes of the leader
    Then each id has the latest start received, and each address one runner
    And no message registers an incarnation that has left

  Scenario Outline: A gateway resets the state of a restarted runner that was <state>
    Given a gateway that knows a runner which was <state>
    When the runner restarts under its id
    Then it is selected like any other, and connections to it are to be closed
    When a response of the earlier incarnation arrives late
    Then it is selected like any other

    Examples:
      | state    |
      | excluded |
      | replaced |
      | refusing |
      | slow     |
      | full     |

  Scenario: Another runner that registers at an address gets new connections
    Given a gateway that knows a runner which was full
    When another runner registers at its address
    Then connections to its address are to be closed

  Scenario: A request in progress at an earlier incarnation may have run
    Given a runner on loopback, and a pool of connections to it
    When a restart is reported while a request is in progress
    Then no earlier connection is reused
    When the runner disconnects while a request is in progress
    Then that request may have run

  Scenario Outline: A heartbeat with <wrong> changes nothing
    Given a registered runner
    When a heartbeat with <wrong> is received, with either set of wire names
    Then it is refused with code 1111, counted under <cause>, and logged once

    Examples:
      | wrong                             | cause      |
      | no service                        | fields     |
      | no address                        | fields     |
      | no state                          | fields     |
      | no slots                          | fields     |
      | no sequence number                | fields     |
      | a null sequence number            | fields     |
      | a negative sequence number        | range      |
      | a fraction as sequence number     | fields     |
      | text as sequence number           | fields     |
      | a huge sequence number            | range      |
      | a nested sequence number          | fields     |
      | a null start                      | fields     |
      | a negative start                  | range      |
      | a fraction as start               | fields     |
      | text as start                     | fields     |
      | a huge start                      | range      |
      | a start of true                   | fields     |
      | negative slots                    | range      |
      | a huge number of slots            | range      |
      | a negative cold time              | range      |
      | an unknown state                  | state      |
      | an internal state                 | state      |
      | a number as state                 | fields     |
      | an empty service                  | names      |
      | a very long service               | names      |
      | an address without a port         | address    |
      | a host name as address            | address    |
      | a port over 65535                 | address    |
      | an address in non-ASCII digits    | address    |
      | an empty id                       | id         |
      | a very long id                    | id         |
      | control characters as id          | id         |
      | a slash in its id                 | id         |
      | an array as body                  | fields     |
      | an empty body                     | unreadable |
      | a truncated body                  | unreadable |
      | invalid UTF-8                     | unreadable |
      | invalid UTF-8 in an unknown field | unreadable |
      | a body nested 30000 deep          | unreadable |
      | a body of 1 MB                    | size       |

  Scenario Outline: A leave with <wrong> changes nothing
    Given a registered runner
    When a leave with <wrong> is received, with either set of wire names
    Then it is refused with code 1111, counted under <cause>, and logged once

    Examples:
      | wrong            | cause      |
      | text as start    | fields     |
      | a negative start | range      |
      | a truncated body | unreadable |
      | an empty id      | id         |

  Scenario Outline: A heartbeat that names <what> is refused
    Given a registry of a deployment with the hall north and the service s
    When a runner registered at X is followed by one with <what> at X
    Then the reply has code <code>, and the runner at X stays registered

    Examples:
      | what            | code |
      | another service | 1112 |
      | another hall    | 1110 |

  Scenario: A runner whose service was removed may still report that it drains
    Given a registry of a deployment with the hall north and the service s
    When a registered runner drains after the routes have lost its service
    Then it is registered as draining

  Scenario: Any bytes are either a valid heartbeat or refused
    When 1200 bodies are drawn from random bytes, values and mutations
    Then each is a heartbeat that can be registered, or is refused

  Scenario: Any response of an engine is either a valid state or refused
    When an engine responds with 300 bodies of random values and mutations
    Then each is a state that can be reported, or a coded error

  Scenario Outline: Routes that are nested too deep are refused in <form>
    When routes that are nested 30000 deep are read in <form>
    Then they are refused with a code

    Examples:
      | form                |
      | the native form     |
      | the platform's form |

  Scenario: Ranks that restart under their ids never mix two maps in a pass
    Given a group of 4 engines whose demand shifts every second
    When sidecars and a leader change its maps for 40 s with orders carried out while ranks restart
    Then no forward pass used two maps
    And the maps were changed at least 8 times
    And no rank is held at the end

  Scenario: Counters that were reset are not counted as selections
    Given a sidecar whose engine has counted 5 and 7 selections
    When the engine resets its counters and reports 1 and 9
    Then no selections are reported, and later ones are counted from there

  Scenario: A report of an earlier incarnation of a rank is ignored
    Given a leader that knows the start time of a rank
    When a report of its earlier incarnation arrives late
    Then no load is forwarded, and no order is sent

  Scenario: An emulated runner that restarts is a new incarnation everywhere
    Given an emulated runner, a registry and a gateway that reads its view
    When it fails at the gateway, restarts and sends a heartbeat
    Then the gateway sends it requests at once

  Scenario Outline: The reuse of idle connections follows what their runner sent: "<sent>"
    Given a runner on loopback, and a pool of connections to it
    When it sends that header, and another request follows after <idle_s> s
    Then <opened> connections have been opened

    Examples:
      | sent               | idle_s | opened |
      | timeout=2          | 1.4    | 1      |
      | timeout=2          | 1.6    | 2      |
      | max=9, Timeout = 3 | 2.6    | 2      |
      | timeout=60         | 3.9    | 1      |
      | timeout=60         | 4.1    | 2      |
      | timeout=soon       | 3.9    | 1      |
      | nothing            | 3.9    | 1      |
