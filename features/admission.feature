Feature: Admission of requests where there is too little room

  Scenario Outline: The runner is told the priority where routes to its service differ in it
    Given streaming routes to one service of priority <first> and <second>
    When a request on a route of priority <own> is sent by a team of priority <team>
    Then its runner is told priority <told>

    Examples:
      | first | second | own | team | told    |
      | 0     | 2      | 2   | none | 2       |
      | 0     | 2      | 2   | 1    | 1       |
      | 0     | 2      | 12  | none | 9       |
      | 1     | 1      | 2   | none | nothing |
