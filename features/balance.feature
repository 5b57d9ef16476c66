Feature: Requests cross to another hall where that pays

  Traffic between halls costs bytes. An emptier rank of the same group in
  another hall starts a request in the same forward pass, so it saves nothing
  while the near rank has a free slot.

  Scenario Outline: One request, by the state of the runners in its hall
    Each hall has one runner of 5 slots of group 1 and one of group 2.
    Given an entry in hall h0 to which a hop is worth <cost>
    And in h0 the runner of group 1 has <one> and that of group 2 has <two>
    And elsewhere those of group 1 have <far_one> and those of group 2 <far_two>
    When a request is sent
    Then it goes to group <group> in <where>

    Examples: Near ranks with a free slot are preferred
      | cost | one | two | far_one | far_two | group | where     |
      | 0.4  | 1   | 1   | 0       | 0       | any   | this hall |
      | 0.4  | 4   | 5   | 0       | 5       | 1     | this hall |
      | 0.4  | 4   | 4   | 0       | 0       | any   | this hall |

    Examples: Another group gets it only if it is much emptier
      | cost | one | two | far_one | far_two | group | where     |
      | 0.4  | 2   | 5   | 0       | 1       | 1     | this hall |
      | 0.4  | 4   | 5   | 0       | 1       | 2     | elsewhere |

    Examples: Far ranks take it where near ones are full, slow or closed
      | cost | one    | two    | far_one | far_two | group | where     |
      | 0.4  | 5      | 5      | 4       | 5       | 1     | elsewhere |
      | 0.4  | 5      | 5      | 5       | 5       | any   | this hall |
      | 0.4  | slow   | slow   | 1       | 4       | 1     | elsewhere |
      | 0.4  | closed | closed | 4       | 1       | 2     | elsewhere |
      | 0.4  | slow   | 5      | 4       | 5       | 1     | elsewhere |

    Examples: By default the emptiest runner gets it
      | cost | one | two | far_one | far_two | group | where     |
      | 0.05 | 1   | 1   | 0       | 1       | 1     | elsewhere |
      | 0.05 | 0   | 1   | 0       | 1       | 1     | this hall |

  Scenario Outline: Bytes between halls fall at no loss of service
    The same load twice, with the hop at the default and at 0.4. Users aim for
    a third fewer bytes between halls; a request that waits for a slot loses
    its time to the first token.
    Given 9 entries in 3 halls and 24 runners of 5 slots in 2 groups
    And <pattern>
    When 30 s of the load are played with a hop at 0.05 and at 0.4
    Then at most <crossing> times as many streams cross halls
    And in no hall more requests wait, but for 1 in 100

    Examples:
      | pattern                           | crossing |
      | an even load of 0.3 of the slots  | 0.67     |
      | opposite peaks in three halls     | 0.67     |
      | one hall x 2                      | 1        |
      | one runner x 12 slower for 9 s    | 0.67     |
