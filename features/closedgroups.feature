Feature: Requests to expert-parallel groups that are not open

  After a loss of all boxes, or of one rank, a group refuses for seconds. Each
  gateway learns it from one refusal, and no request uses up its tries.

  Background:
    Given 2 groups of 4 ranks with 5 slots each

  Scenario: A rank that refuses with room closes its group and no other
    When a rank of group 1 refuses with 0 requests there
    Then requests go to group 2 only

  Scenario: A rank that refuses since it is full closes nothing
    When a rank of group 1 refuses with 5 requests there
    Then requests go to both groups

  Scenario Outline: <after_s> s after a refusal by both, <who> <may>
    When a rank of group 1 refuses with 0 requests there
    And a rank of group 2 refuses with 0 requests there
    And <after_s> s go by
    Then <who> <may>

    Examples:
      | who                         | after_s | may             |
      | a request without a try     | 0.25    | finds no runner |
      | a request without a try     | 0.35    | finds a runner  |
      | a request that was refused  | 0.35    | finds no runner |
      | a request that was refused  | 3       | finds no runner |

  Scenario Outline: <sign> lets those try again that were refused
    When a rank of group 1 refuses with 0 requests there
    And a rank of group 2 refuses with 0 requests there
    And <sign> 0.1 s later
    Then a request that was refused finds a runner
    And those that wait were woken

    Examples:
      | sign                            |
      | a report of an open rank comes  |
      | a rank takes a request          |

  Scenario Outline: After a report of <age_s> s ago that all are closed a request <told>
    When all ranks of both groups report that they are closed
    And <age_s> s go by
    Then a request without a try <told>

    Examples:
      | age_s | told            |
      | 1     | finds no runner |
      | 2     | finds a runner  |

  Scenario: How long all are closed is told anew each time
    When all ranks of both groups report that they are closed
    And 3 s go by
    And all ranks of both groups report that they are open
    And 50 s go by
    And all ranks of both groups report that they are closed
    Then all are closed for 0 s

  Scenario: One request finds out whether the ranks of a first view are there
    Given a gateway that has just learnt of 4 ranks
    When a request is on its way to one of them
    Then others are to wait for what becomes of it
    And they need not once a report has come

  Scenario Outline: The wave after a start of <what>
    Given 15 gateways and 13 ranks, of a view that is <view>
    When callers come while the group opens <opens_s> s later
    Then all are served, none with a third try
    And the ranks refuse at most 6 times a gateway

    Examples:
      | what           | view                       | opens_s |
      | all processes  | right                      | 0.0     |
      | all boxes      | older than all the ranks   | 0.9     |
      | the ranks only | right                      | 0.7     |
