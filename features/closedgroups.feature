Feature: Requests to expert-parallel groups that are not open

  After an outage of all boxes, or of one rank, a group refuses requests for
  seconds. A gateway learns it from one refusal, so that requests don't use up
  their attempts.

  Background:
    Given 2 groups of 4 ranks with 5 slots each

  Scenario: A rank that refuses with free slots closes its group and no other
    When a rank of group 1 refuses while it has 0 requests
    Then requests go to group 2 only

  Scenario: A rank that refuses because it is full closes no group
    When a rank of group 1 refuses while it has 5 requests
    Then requests go to both groups

  Scenario Outline: <after_s> s after refusals by both groups, <request> <result>
    When a rank of group 1 refuses while it has 0 requests
    And a rank of group 2 refuses while it has 0 requests
    And <after_s> s pass at the gateway
    Then <request> <result>

    Examples:
      | request           | after_s | result          |
      | a new request     | 0.25    | finds no runner |
      | a new request     | 0.35    | finds a runner  |
      | a refused request | 0.35    | finds no runner |
      | a refused request | 3       | finds no runner |

  Scenario Outline: Refused requests are retried once <event>
    When a rank of group 1 refuses while it has 0 requests
    And a rank of group 2 refuses while it has 0 requests
    And <event> 0.1 s later
    Then a refused request finds a runner
    And the requests that wait for a group are woken

    Examples:
      | event                            |
      | a report of an open rank arrives |
      | a rank accepts a request         |

  Scenario Outline: <age_s> s after reports that all ranks are closed, a new request <result>
    When all ranks of both groups report that they are closed
    And <age_s> s pass at the gateway
    Then a new request <result>

    Examples:
      | age_s | result          |
      | 1     | finds no runner |
      | 2     | finds a runner  |

  Scenario: The time for which all groups are closed restarts at each closure
    When all ranks of both groups report that they are closed
    And 3 s pass at the gateway
    And all ranks of both groups report that they are open
    And 50 s pass at the gateway
    And all ranks of both groups report that they are closed
    Then all groups have been closed for 0 s

  Scenario: One request probes the ranks of a gateway's first view
    Given a gateway that has just received a view of 4 ranks
    When a request is in progress on one of them
    Then other requests have to wait for its outcome
    And they need not wait once a report has arrived

  Scenario Outline: Requests during a start of <what> are all served
    Given 15 gateways with an <view> view of 13 ranks
    When callers send requests and the group opens <opens_s> s later
    Then all requests are served, none with a third attempt
    And the ranks refuse at most 6 requests per gateway

    Examples:
      | what           | view     | opens_s |
      | all processes  | accurate | 0.0     |
      | all boxes      | outdated | 0.9     |
      | the ranks only | accurate | 0.7     |
