Feature: A single fault at each step of a request

  Each example injects one fault into one message of the protocol, and checks
  what the callers received and what the runners ran.

  Scenario Outline: At most once when <message> <fault>
    Given a system of 2 gateways, 2 agents and 3 controllers
    When a call with a key is made and its <message> <fault>
    And the caller resends it through alternating gateways until it has an answer
    Then it ran at most once, and the caller has its own complete answer
    And it had not run whenever it was reported as not run

    Examples:
      | message    | fault                                  |
      | Claim      | is lost                                |
      | Claim      | is duplicated                          |
      | Claim      | is delayed                             |
      | Claim      | kills its sender before it is sent     |
      | Claim      | kills its sender after it is sent      |
      | Claim      | kills its receiver before it arrives   |
      | Claim      | kills its receiver after it is handled |
      | Claim      | cuts its link in both directions       |
      | Claim      | cuts its link for replies              |
      | Claim      | freezes its sender                     |
      | Claim      | freezes its receiver                   |
      | Claim      | isolates its receiver                  |
      | ClaimReply | is lost                                |
      | ClaimReply | is duplicated                          |
      | ClaimReply | is delayed                             |
      | ClaimReply | kills its sender before it is sent     |
      | ClaimReply | kills its sender after it is sent      |
      | ClaimReply | kills its receiver before it arrives   |
      | ClaimReply | kills its receiver after it is handled |
      | ClaimReply | cuts its link in both directions       |
      | ClaimReply | cuts its link for replies              |
      | ClaimReply | freezes its sender                     |
      | ClaimReply | freezes its receiver                   |
      | ClaimReply | isolates its receiver                  |
      | Ticket     | is lost                                |
      | Ticket     | is duplicated                          |
      | Ticket     | is delayed                             |
      | Ticket     | kills its sender before it is sent     |
      | Ticket     | kills its sender after it is sent      |
      | Ticket     | kills its receiver before it arrives   |
      | Ticket     | kills its receiver after it is handled |
      | Ticket     | cuts its link in both directions       |
      | Ticket     | cuts its link for replies              |
      | Ticket     | freezes its sender                     |
      | Ticket     | freezes its receiver                   |
      | Ticket     | isolates its receiver                  |
      | Frames     | is lost                                |
      | Frames     | is duplicated                          |
      | Frames     | is delayed                             |
      | Frames     | kills its sender before it is sent     |
      | Frames     | kills its sender after it is sent      |
      | Frames     | kills its receiver before it arrives   |
      | Frames     | kills its receiver after it is handled |
      | Frames     | cuts its link in both directions       |
      | Frames     | cuts its link for replies              |
      | Frames     | freezes its sender                     |
      | Frames     | freezes its receiver                   |
      | Frames     | isolates its receiver                  |
      | Outcome    | is lost                                |
      | Outcome    | is duplicated                          |
      | Outcome    | is delayed                             |
      | Outcome    | kills its sender before it is sent     |
      | Outcome    | kills its sender after it is sent      |
      | Outcome    | kills its receiver before it arrives   |
      | Outcome    | kills its receiver after it is handled |
      | Outcome    | cuts its link in both directions       |
      | Outcome    | cuts its link for replies              |
      | Outcome    | freezes its sender                     |
      | Outcome    | freezes its receiver                   |
      | Outcome    | isolates its receiver                  |

  Scenario Outline: Nothing reported as not run has run when <message> <fault>
    Given a system of 2 gateways, 2 agents and 3 controllers
    When a call with a key is made and its <message> <fault>
    And the caller gives up, and 60 s pass
    Then it ran at most once, and not at all if it was reported as not run

    Examples:
      | message    | fault                                  |
      | Claim      | is lost                                |
      | Claim      | is duplicated                          |
      | Claim      | is delayed                             |
      | Claim      | kills its sender before it is sent     |
      | Claim      | kills its sender after it is sent      |
      | Claim      | kills its receiver before it arrives   |
      | Claim      | kills its receiver after it is handled |
      | Claim      | cuts its link in both directions       |
      | Claim      | cuts its link for replies              |
      | Claim      | freezes its sender                     |
      | Claim      | freezes its receiver                   |
      | Claim      | isolates its receiver                  |
      | ClaimReply | is lost                                |
      | ClaimReply | is duplicated                          |
      | ClaimReply | is delayed                             |
      | ClaimReply | kills its sender before it is sent     |
      | ClaimReply | kills its sender after it is sent      |
      | ClaimReply | kills its receiver before it arrives   |
      | ClaimReply | kills its receiver after it is handled |
      | ClaimReply | cuts its link in both directions       |
      | ClaimReply | cuts its link for replies              |
      | ClaimReply | freezes its sender                     |
      | ClaimReply | freezes its receiver                   |
      | ClaimReply | isolates its receiver                  |
      | Ticket     | is lost                                |
      | Ticket     | is duplicated                          |
      | Ticket     | is delayed                             |
      | Ticket     | kills its sender before it is sent     |
      | Ticket     | kills its sender after it is sent      |
      | Ticket     | kills its receiver before it arrives   |
      | Ticket     | kills its receiver after it is handled |
      | Ticket     | cuts its link in both directions       |
      | Ticket     | cuts its link for replies              |
      | Ticket     | freezes its sender                     |
      | Ticket     | freezes its receiver                   |
      | Ticket     | isolates its receiver                  |
      | Frames     | is lost                                |
      | Frames     | is duplicated                          |
      | Frames     | is delayed                             |
      | Frames     | kills its sender before it is sent     |
      | Frames     | kills its sender after it is sent      |
      | Frames     | kills its receiver before it arrives   |
      | Frames     | kills its receiver after it is handled |
      | Frames     | cuts its link in both directions       |
      | Frames     | cuts its link for replies              |
      | Frames     | freezes its sender                     |
      | Frames     | freezes its receiver                   |
      | Frames     | isolates its receiver                  |

  Scenario Outline: Complete answers when <message> <fault>
    Given a system of 2 gateways, 2 agents and 3 controllers
    When 6 callers send requests at once and the third <message> <fault>
    Then each caller has its own complete answer or an error
    And no caller waits longer than 10 s
    And at least half of the callers have their answer
    And the runners are idle 30 s later

    Examples:
      | message    | fault                                  |
      | Ticket     | is lost                                |
      | Ticket     | is duplicated                          |
      | Ticket     | is delayed                             |
      | Ticket     | kills its sender before it is sent     |
      | Ticket     | kills its sender after it is sent      |
      | Ticket     | kills its receiver before it arrives   |
      | Ticket     | kills its receiver after it is handled |
      | Ticket     | cuts its link in both directions       |
      | Ticket     | cuts its link for replies              |
      | Ticket     | freezes its sender                     |
      | Ticket     | freezes its receiver                   |
      | Ticket     | isolates its receiver                  |
      | Frames     | is lost                                |
      | Frames     | is duplicated                          |
      | Frames     | is delayed                             |
      | Frames     | kills its sender before it is sent     |
      | Frames     | kills its sender after it is sent      |
      | Frames     | kills its receiver before it arrives   |
      | Frames     | kills its receiver after it is handled |
      | Frames     | cuts its link in both directions       |
      | Frames     | cuts its link for replies              |
      | Frames     | freezes its sender                     |
      | Frames     | freezes its receiver                   |
      | Frames     | isolates its receiver                  |
      | Load       | is lost                                |
      | Load       | is duplicated                          |
      | Load       | is delayed                             |
      | Load       | kills its sender before it is sent     |
      | Load       | kills its sender after it is sent      |
      | Load       | kills its receiver before it arrives   |
      | Load       | kills its receiver after it is handled |
      | Load       | cuts its link in both directions       |
      | Load       | cuts its link for replies              |
      | Load       | freezes its sender                     |
      | Load       | freezes its receiver                   |
      | Load       | isolates its receiver                  |
      | LastFrames | is lost                                |
      | LastFrames | is duplicated                          |
      | LastFrames | is delayed                             |
      | LastFrames | kills its sender before it is sent     |
      | LastFrames | kills its sender after it is sent      |
      | LastFrames | kills its receiver before it arrives   |
      | LastFrames | kills its receiver after it is handled |
      | LastFrames | cuts its link in both directions       |
      | LastFrames | cuts its link for replies              |
      | LastFrames | freezes its sender                     |
      | LastFrames | freezes its receiver                   |
      | LastFrames | isolates its receiver                  |

  Scenario: An agent disconnected from the controllers completes its requests
    Given a system of 2 gateways, 2 agents and 3 controllers
    When an agent is disconnected from the controllers during a long answer
    Then the caller has its own complete answer
    And no new request is sent to that agent after its lease has expired

  Scenario: An answer too large to store in the log is never truncated
    Given a system of 2 gateways, 2 agents and 3 controllers
    When a call with a key has an answer of 40000 pieces and is sent again
    Then the second answer, sent by the agent, is complete too
    And after the agent has restarted the outcome is unknown, and it ran once

  Scenario: A truncated answer to a call with a key is not stored as complete
    Given a system of 2 gateways, 2 agents and 3 controllers
    When a call with a key has its answer truncated by the runner and is sent again
    Then neither answer is delivered as complete, and it ran once

  # Guards against a request that ends without an answer, as a gateway looks up an
  # agent that has left its view while it waited for another process. Another
  # gateway sends the call first where it is sent twice.
  Scenario Outline: An agent leaves the view while a gateway waits for <reply>
    Given a system of 2 gateways, 1 agents and 3 controllers
    When a call with a key is sent <times>, and its agent leaves the view with <reply>
    Then each call gets an answer or a coded error, and it ran at most once

    Examples:
      | reply                     | times |
      | its first load            | once  |
      | the claim of the key      | once  |
      | a running answer          | twice |
      | an answer that is unknown | twice |
