Feature: The soak test passes, and detects broken rules

  A checker that overlooks a broken rule would let a faulty release pass.

  Scenario: A seed always gives the same plan, and different seeds different plans
    Then seed 1 gives the same plan twice, and seed 2 a different one

  Scenario: A run with an old build rolls to the new one, back and to it again
    Then seed 1 gives the same rolls twice, each through all processes
    And the leader is replaced first, last and last, in time for the recovery

  # Guards against rolls to an old build that no one asked for.
  Scenario: A run without an old build replaces no process by another build
    Then a run of seed 1 has no old build by default

  Scenario: A short run with faults on real processes breaks no rule
    When seed 3 is run for half a minute on a few processes
    Then no rule is broken, and these rules were checked
      | rule                         |
      | whole and right answers      |
      | at most one run              |
      | only what was asked          |
      | acknowledged routes are kept |
      | one map a pass               |
      | good service is back         |
    And no process of the run remains

  # Guards against answers that a runner broke off and that look complete.
  Scenario: A short run with answers of each framing, some broken off, breaks no rule
    When seed 5 is run for 18 s with answers of each framing, some broken off
    Then no rule is broken, and these rules were checked
      | rule                        |
      | whole and right answers     |
      | whole answers are delivered |
      | at most one run             |
      | good service is back        |
    And no process of the run remains

  # Guards against requests that no two are alike and that crash runners.
  Scenario: A short run with parts of prompts that crash runners breaks no rule
    When seed 1 is run for 24 s with parts of prompts that crash runners
    Then no rule is broken, and these rules were checked
      | rule                                   |
      | parts that crash runners are held back |
      | sound requests are not held back       |
      | good service is back                   |
    And each harmful part has crashed a runner
    And no process of the run remains

  # Guards against memory that is taken for slow callers, against runners that
  # keep entries busy, and against a disk that is lost as the system forms.
  Scenario: A short run with slow callers and endless answers breaks no rule
    When seed 3 is run for 30 s with slow callers and endless answers
    Then no rule is broken, and these rules were checked
      | rule                              |
      | processes stay within their memory |
      | acknowledged routes are kept      |
      | whole and right answers           |
      | good service is back              |
    And no process of the run remains

  # Guards against changes that are late or come back, and against requests to
  # runners that drain or leave, also where a process was not run for a while.
  Scenario: A short run with changes, drains and pauses breaks no rule
    When seed 209 is run for 36 s with changes, drains and pauses
    Then no rule is broken, and these rules were checked
      | rule                                         |
      | changes are in force in time                 |
      | entries never go back                        |
      | only what a document allows                  |
      | invalid changes are refused                  |
      | routes are read as they were sent            |
      | added routes are served                      |
      | requests end with the timeout of their route |
      | good service is back                         |
    And no process of the run remains

  # Guards against draws that lack a break, or that no caller could notice.
  Scenario: Each framing is drawn with each break that can be noticed
    When the framings of 5000 streams and 5000 bodies are drawn
    Then each framing is drawn whole, and broken off at each place by close, reset and silence
    And what has no length closes within a body, or between two events, only as its process ends

  Scenario Outline: The checker detects <violation>
    Given a checker that knows of a request to "entry-1"
    When <observation>
    Then the rule "<rule>" is broken

    Examples:
      | violation                               | observation                                                     | rule                                      |
      | a stream that lacks its last event      | it is answered with a stream that ends after 11 of 12 events    | whole and right answers                   |
      | a stream that ends within an event      | it is answered with a stream that ends after 11.5 of 12 events  | whole and right answers                   |
      | a stream with an event twice            | it is answered with a stream with one of its events twice       | whole and right answers                   |
      | a whole answer that is not delivered    | its runner sends a whole answer and it is answered with 502     | whole answers are delivered               |
      | a run reported as not run               | it has run and is answered with 503                             | not run is true                           |
      | a second run                            | it has run twice                                                | at most one run                           |
      | the answer to another request           | it is answered with 200 and the path of another request         | whole and right answers                   |
      | an unknown request                      | a request that no caller sent arrives                           | only what was asked                       |
      | a denial                                | it is answered with 404                                         | no denials                                |
      | a request to a drained hall             | it arrives 20 s after the hall of its runner was drained        | out of service gets nothing               |
      | an overloaded cold runner               | 9 safe requests arrive at a cold runner limited to 2 per second | cold runners are spared                   |
      | an exceeded retry budget                | it arrives 40 times                                             | repeated sends in budget                  |
      | an outdated version of routes           | version 2 is read after 3 was acknowledged                      | acknowledged routes are kept              |
      | different contents of a version         | version 2 is read twice with different contents                 | one content a version                     |
      | an entry that loses a version           | its entry serves version 3 and later does not                   | entries never go back                     |
      | an answer cut by a planned stop         | its entry stops, and its answer is cut after it arrived         | planned stops cut nothing                 |
      | a backoff that is ignored               | 3 safe requests arrive 1 s into a backoff of 3 s                | rests are kept                            |
      | a request to a leaving runner           | it arrives 3 s after its runner announced that it leaves        | who leaves gets nothing                   |
      | a limit that is exceeded                | 12 safe requests arrive 1 s after a limit of 1 a second         | named limits are kept                     |
      | a request that crashes too many runners | a request crashes 3 runners, and 4 more 5 s later               | requests that crash runners are held back |
      | a part that crashes too many runners    | a part crashes 5 runners, and reaches 4 more 5 s later          | parts that crash runners are held back    |
      | a sound request that is held back       | it is answered with 502 and the code of a quarantined part      | sound requests are not held back          |
      | two maps in a forward pass              | a forward pass runs with two maps                               | one map a pass                            |
      | a process that takes too much memory    | a process takes 100.1 MB of 100                                 | processes stay within their memory        |
      | a process that ends unexpectedly        | a process ends unexpectedly                                     | no process ends by itself                 |
      | a message that cannot be decoded        | the metrics of an entry count a malformed message               | processes read all messages               |
      | a process of another build              | a process starts on the old build instead of the new one        | processes run their build                 |
      | a change that is not in force in time   | 2.1 s after an acknowledged change its route is refused         | changes are in force in time              |
      | a dropped key that is still taken       | 2.1 s after an acknowledged change a dropped key is taken       | changes are in force in time              |
      | an entry that goes back                 | 0.3 s after a change had an effect its route is refused         | entries never go back                     |
      | a refused change that is obeyed         | a route of a refused change is run                              | only what a document allows               |
      | other content under a taken version     | a route sent later under an acknowledged version is run         | only what a document allows               |
      | an invalid change that is taken         | an invalid change is acknowledged                               | invalid changes are refused               |
      | content that differs when it is read    | a change is read back with other content                        | routes are read as they were sent         |
      | added routes that are not served        | 4 of 20 requests on an added route are served                   | added routes are served                   |
      | requests held beyond the timeout        | 8 of 20 requests wait 0.6 s beyond the timeout of their route   | requests end with the timeout of their route |
      | a request to a draining runner          | it arrives 2.1 s after the drain of its runner was acknowledged | who drains gets nothing                   |

  # Guards against a run that fails as requests are held back which should be.
  Scenario Outline: A request of the kind <kind> that is held back <breaks>
    Given a checker that knows of a request of the kind <kind>
    When it is answered with 502 and the code of a quarantined part
    Then the rule on sound requests <breaks>

    Examples:
      | kind   | breaks |
      | killer | holds  |
      | poison | holds  |
      | read   | breaks |

  # Guards against bounds that excuse too much, or hold where they may not.
  Scenario Outline: A change must be in force within <bound_s> s after <faults>
    When the checker knows of <faults>
    Then a change must be in force at "entry-4" within <bound_s> s

    Examples:
      | faults                                       | bound_s |
      | no fault                                     | 2       |
      | a fault of front-4 until 3.1 s before        | 2       |
      | a fault of front-4 until 2.9 s before        | inf     |
      | a fault of entry-5 until 0.1 s before        | 2       |
      | a fault of entry-1 until 2.9 s before        | 7       |
      | a fault of entry-1 that lasts                | 7       |
      | faults of entry-0, entry-1 until 9.9 s before  | 2       |
      | faults of entry-0, entry-1 until 5.9 s before  | inf     |
