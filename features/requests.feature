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
      | message | fault |
      | Claim | is lost |
      | Claim | comes twice |
      | Claim | comes late |
      | Claim | kills its sender before it leaves |
      | Claim | kills its sender after it left |
      | Claim | kills its receiver before it comes |
      | Claim | kills its receiver after it came |
      | Claim | meets a cut both ways |
      | Claim | meets a cut one way |
      | Claim | freezes its sender |
      | Claim | freezes its receiver |
      | Claim | cuts its receiver off |
      | ClaimReply | is lost |
      | ClaimReply | comes twice |
      | ClaimReply | comes late |
      | ClaimReply | kills its sender before it leaves |
      | ClaimReply | kills its sender after it left |
      | ClaimReply | kills its receiver before it comes |
      | ClaimReply | kills its receiver after it came |
      | ClaimReply | meets a cut both ways |
      | ClaimReply | meets a cut one way |
      | ClaimReply | freezes its sender |
      | ClaimReply | freezes its receiver |
      | ClaimReply | cuts its receiver off |
      | Ticket | is lost |
      | Ticket | comes twice |
      | Ticket | comes late |
      | Ticket | kills its sender before it leaves |
      | Ticket | kills its sender after it left |
      | Ticket | kills its receiver before it comes |
      | Ticket | kills its receiver after it came |
      | Ticket | meets a cut both ways |
      | Ticket | meets a cut one way |
      | Ticket | freezes its sender |
      | Ticket | freezes its receiver |
      | Ticket | cuts its receiver off |
      | Frames | is lost |
      | Frames | comes twice |
      | Frames | comes late |
      | Frames | kills its sender before it leaves |
      | Frames | kills its sender after it left |
      | Frames | kills its receiver before it comes |
      | Frames | kills its receiver after it came |
      | Frames | meets a cut both ways |
      | Frames | meets a cut one way |
      | Frames | freezes its sender |
      | Frames | freezes its receiver |
      | Frames | cuts its receiver off |
      | Outcome | is lost |
      | Outcome | comes twice |
      | Outcome | comes late |
      | Outcome | kills its sender before it leaves |
      | Outcome | kills its sender after it left |
      | Outcome | kills its receiver before it comes |
      | Outcome | kills its receiver after it came |
      | Outcome | meets a cut both ways |
      | Outcome | meets a cut one way |
      | Outcome | freezes its sender |
      | Outcome | freezes its receiver |
      | Outcome | cuts its receiver off |

  Scenario Outline: Nothing reported as not run has run when <message> <fault>
    Given a system of 2 gateways, 2 agents and 3 controllers
    When a call with a key is made and its <message> <fault>
    And the caller gives up, and 60 s pass
    Then it ran at most once, and not at all if it was reported as not run

    Examples:
      | message | fault |
      | Claim | is lost |
      | Claim | comes twice |
      | Claim | comes late |
      | Claim | kills its sender before it leaves |
      | Claim | kills its sender after it left |
      | Claim | kills its receiver before it comes |
      | Claim | kills its receiver after it came |
      | Claim | meets a cut both ways |
      | Claim | meets a cut one way |
      | Claim | freezes its sender |
      | Claim | freezes its receiver |
      | Claim | cuts its receiver off |
      | ClaimReply | is lost |
      | ClaimReply | comes twice |
      | ClaimReply | comes late |
      | ClaimReply | kills its sender before it leaves |
      | ClaimReply | kills its sender after it left |
      | ClaimReply | kills its receiver before it comes |
      | ClaimReply | kills its receiver after it came |
      | ClaimReply | meets a cut both ways |
      | ClaimReply | meets a cut one way |
      | ClaimReply | freezes its sender |
      | ClaimReply | freezes its receiver |
      | ClaimReply | cuts its receiver off |
      | Ticket | is lost |
      | Ticket | comes twice |
      | Ticket | comes late |
      | Ticket | kills its sender before it leaves |
      | Ticket | kills its sender after it left |
      | Ticket | kills its receiver before it comes |
      | Ticket | kills its receiver after it came |
      | Ticket | meets a cut both ways |
      | Ticket | meets a cut one way |
      | Ticket | freezes its sender |
      | Ticket | freezes its receiver |
      | Ticket | cuts its receiver off |
      | Frames | is lost |
      | Frames | comes twice |
      | Frames | comes late |
      | Frames | kills its sender before it leaves |
      | Frames | kills its sender after it left |
      | Frames | kills its receiver before it comes |
      | Frames | kills its receiver after it came |
      | Frames | meets a cut both ways |
      | Frames | meets a cut one way |
      | Frames | freezes its sender |
      | Frames | freezes its receiver |
      | Frames | cuts its receiver off |

  Scenario Outline: Complete answers when <message> <fault>
    Given a system of 2 gateways, 2 agents and 3 controllers
    When 6 callers send requests at once and the third <message> <fault>
    Then each caller has its own complete answer or an error
    And no caller waits longer than 10 s
    And at least half of the callers have their answer
    And the runners are idle 30 s later

    Examples:
      | message | fault |
      | Ticket | is lost |
      | Ticket | comes twice |
      | Ticket | comes late |
      | Ticket | kills its sender before it leaves |
      | Ticket | kills its sender after it left |
      | Ticket | kills its receiver before it comes |
      | Ticket | kills its receiver after it came |
      | Ticket | meets a cut both ways |
      | Ticket | meets a cut one way |
      | Ticket | freezes its sender |
      | Ticket | freezes its receiver |
      | Ticket | cuts its receiver off |
      | Frames | is lost |
      | Frames | comes twice |
      | Frames | comes late |
      | Frames | kills its sender before it leaves |
      | Frames | kills its sender after it left |
      | Frames | kills its receiver before it comes |
      | Frames | kills its receiver after it came |
      | Frames | meets a cut both ways |
      | Frames | meets a cut one way |
      | Frames | freezes its sender |
      | Frames | freezes its receiver |
      | Frames | cuts its receiver off |
      | Load | is lost |
      | Load | comes twice |
      | Load | comes late |
      | Load | kills its sender before it leaves |
      | Load | kills its sender after it left |
      | Load | kills its receiver before it comes |
      | Load | kills its receiver after it came |
      | Load | meets a cut both ways |
      | Load | meets a cut one way |
      | Load | freezes its sender |
      | Load | freezes its receiver |
      | Load | cuts its receiver off |
      | LastFrames | is lost |
      | LastFrames | comes twice |
      | LastFrames | comes late |
      | LastFrames | kills its sender before it leaves |
      | LastFrames | kills its sender after it left |
      | LastFrames | kills its receiver before it comes |
      | LastFrames | kills its receiver after it came |
      | LastFrames | meets a cut both ways |
      | LastFrames | meets a cut one way |
      | LastFrames | freezes its sender |
      | LastFrames | freezes its receiver |
      | LastFrames | cuts its receiver off |

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
