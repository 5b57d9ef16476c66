Feature: Table changes take effect within seconds and never revert

  A gateway or agent that applies an old table, or two at once, lets more
  requests run than any one table allows.

  Scenario Outline: A put whose <message> <fault>
    Given a system of 2 gateways, 2 agents and 3 controllers
    When a new table is put while its <message> <fault>, and retried until answered
    Then one new version is created and in force everywhere within 5 s of its acceptance
    And no gateway or agent ever reverts to an older index
    And no gateway or agent accepts requests under the old table once the new one is in force

    Examples:
      | message | fault                                  |
      | Grant   | is lost                                |
      | Grant   | is duplicated                          |
      | Grant   | is delayed                             |
      | Grant   | kills its sender before it is sent     |
      | Grant   | kills its sender after it is sent      |
      | Grant   | kills its receiver before it arrives   |
      | Grant   | kills its receiver after it is handled |
      | Grant   | cuts its link in both directions       |
      | Grant   | cuts its link for replies              |
      | Grant   | freezes its sender                     |
      | Grant   | freezes its receiver                   |
      | Grant   | isolates its receiver                  |
      | Changes | is lost                                |
      | Changes | is duplicated                          |
      | Changes | is delayed                             |
      | Changes | kills its sender before it is sent     |
      | Changes | kills its sender after it is sent      |
      | Changes | kills its receiver before it arrives   |
      | Changes | kills its receiver after it is handled |
      | Changes | cuts its link in both directions       |
      | Changes | cuts its link for replies              |
      | Changes | freezes its sender                     |
      | Changes | freezes its receiver                   |
      | Changes | isolates its receiver                  |
      | Renew   | is lost                                |
      | Renew   | is duplicated                          |
      | Renew   | is delayed                             |
      | Renew   | kills its sender before it is sent     |
      | Renew   | kills its sender after it is sent      |
      | Renew   | kills its receiver before it arrives   |
      | Renew   | kills its receiver after it is handled |
      | Renew   | cuts its link in both directions       |
      | Renew   | cuts its link for replies              |
      | Renew   | freezes its sender                     |
      | Renew   | freezes its receiver                   |
      | Renew   | isolates its receiver                  |

  Scenario Outline: The leader is <fault> just after it accepted a put
    Given a system of 2 gateways, 2 agents and 3 controllers
    When a new table is accepted and the leader is <fault>
    Then one new version is created and in force everywhere within 5 s of its acceptance
    And no gateway or agent ever reverts to an older index
    And no gateway or agent accepts requests under the old table once the new one is in force

    Examples:
      | fault              |
      | killed             |
      | isolated           |
      | frozen             |
      | stopped as planned |

  Scenario: Of two puts with equal base versions one wins
    Given a system of 2 gateways, 2 agents and 3 controllers
    When two operators put different tables over the same version
    Then one is accepted and the other is rejected with the rows that differ
    And each gets the same reply again after failover, snapshot and restart

  Scenario: A gateway that restarts after hundreds of changes serves no outdated table
    Given a system of 2 gateways, 2 agents and 3 controllers
    When 300 changes are made while "g1" is down and it restarts isolated
    Then "g1" rejects all requests with code 1203 until it has the newest table

  Scenario: A gateway isolated from the controllers stops accepting requests, then resumes
    Given a system of 2 gateways, 2 agents and 3 controllers
    When "g2" is isolated from the controllers for 120 s while the table changes
    Then "g2" rejects requests with code 1203 from 3 s after the cut until it ends
    And "g2" serves under the new table within 2 s of the end of the cut
