Feature: The fault soak keeps the rules, and sees what breaks them

  Scenario: A seed draws the same plan each time, and another seed another one
    Then the plans of seeds 1, 1 and 2 are the same, the same and another

  Scenario: A short run of real processes under faults breaks no rule
    When seed 3 is played for half a minute on a few processes
    Then no rule is broken, and these were checked
      | rule                         |
      | whole and right answers      |
      | at most one run              |
      | only what was asked          |
      | acknowledged routes are kept |
      | one map a pass               |
      | good service is back         |
    And no process of the run is left

  Scenario Outline: What is seen shows <break>
    Given a checker that knows of a request to "entry-1"
    When <seen>
    Then the rule "<rule>" is broken

    Examples:
      | break                           | seen                                                 | rule                         |
      | a run that was denied           | it ran and is answered 503                           | not run is true              |
      | a second run                    | it ran twice                                         | at most one run              |
      | another's answer                | it is answered 200 with the path of another          | whole and right answers      |
      | a request that nobody sent      | a request that nobody sent arrives                   | only what was asked          |
      | a denial                        | it is answered 404                                   | no denials                   |
      | a hall that is out of service   | it arrives 20 s after its runner's hall was taken out | out of service gets nothing |
      | a cold runner with much to do   | 9 of its kind arrive at a cold runner that bears 2   | cold runners are spared      |
      | a budget that is spent          | it arrives 40 times                                  | repeated sends in budget     |
      | routes that go back             | version 2 is read where 3 was acknowledged           | acknowledged routes are kept |
      | two contents of one version     | version 2 is read twice with other contents          | one content a version        |
      | an entry that goes back         | its entry serves version 3 and then has it no more   | entries never go back        |
      | a stop that cuts                | its entry stops, and it is cut after it arrived      | planned stops cut nothing    |
      | a rest that is not kept         | 3 of its kind arrive 1 s after a rest of 3 s was asked for | rests are kept   |
      | a runner that leaves            | one arrives 3 s after its runner said that it leaves | who leaves gets nothing      |
      | a request that crashes runners  | it has crashed 3 runners, and 4 more 5 s later       | requests that crash runners are held back |
      | two maps in a pass              | a pass has two maps                                  | one map a pass               |
      | a process that ends             | a process ends by itself                             | no process ends by itself    |
