Feature: Evidence on parts of prompts that crash runners

  Which parts of prompts are quarantined, for whom and for how long, decided
  from reports of crashes and successes alone.

  Scenario Outline: <case>
    Given a leader of gateways that report crashes of runners
    When gateways report <reports>
    Then the parts held are <held>

    Examples:
      | case                                                | reports                                                  | held                |
      | One crash holds nothing                             | 1:red/r1/bad                                             | -                   |
      | Two crashes with one part in common                 | 1:red/r1/bad,a 2:red/r2/bad,b                            | bad:red             |
      | One request that crashes two runners                | 1:red/r1/rare 2:red/r1/rare                              | -                   |
      | Two runners that crash together                     | 1:red/r1/rare 1.05:red/r2/rare                           | -                   |
      | A part that serves others between the crashes       | 1:red/r1/bad,a 2:ok/a 3:red/r2/bad,a                     | bad:red             |
      | A part that has served others before the crashes    | 0:ok/a 1:red/r1/bad,a 2:red/r2/bad,a 3:red/r3/bad,a      | bad:red             |
      | A part that served others, beside three crashes     | 0:ok/a 1:red/r1/a 2:red/r2/a 3:red/r3/a                  | -                   |
      | A part that served others, and crashes them now     | 0:ok/a 1:red/r1/a 2:red/r2/a 3:red/r3/a 4:red/r4/a       | a:red               |
      | Two parts that always come together                 | 1:red/r1/bad,too 2:red/r2/bad,too                        | bad:red too:red     |
      | A part that comes with another, and then serves     | 1:red/r1/bad,too 2:red/r2/bad,too 3:ok/too               | bad:red             |
      | A part in few of the requests that crashes name     | 1:red/r1/bad,a 2:red/r2/bad,a+red/r3/a                   | bad:red             |
      | A part in most of the requests, which does crash    | 1:red/r1/b,a 2:red/r2/b,a+red/r3/a 3:red/r4/a 4:red/r5/a | a:red b:red       |
      | A part beside one that more crashes name            | 1:red/r1/bad 2:red/r2/bad,b 2.5:lost 3:red/r3/bad,b      | bad:red             |
      | Crashes with several teams                          | 1:red/r1/bad 2:blue/r2/bad                               | bad:all             |
      | A second team after the first                       | 1:red/r1/bad 2:red/r2/bad 3:blue/r3/bad 4:blue/r4/bad    | bad:red bad:all     |
      | A team that sends a part of others with each crash  | 1:red/r1/evil,their 2:red/r3/evil,their                  | evil:red their:red  |
      | A part of others who are beside it                  | 1:red/r1/evil,their+blue/r2/their 2:red/r3/evil,their    | evil:red            |
      | A part of others that is served meanwhile           | 1:red/r1/evil,their 2:ok/their 3:red/r3/evil,their       | evil:red            |
      | Two harmful parts in turn                           | 1:red/r1/bad 2:red/r2/worse 3:red/r3/bad 4:red/r4/worse  | bad:red worse:red   |
      | A crash long ago                                    | 1:red/r1/bad 700:red/r2/bad                              | -                   |
      | A new leader that all crashes are reported to       | 1:red/r1/bad 2:lost 3:red/r2/bad                         | bad:red             |
      | Half of the runners crash with what they run        | 1:red/r1/x 1.01:blue/r2/x 1.02:red/r3/x 1.03:blue/r4/x   | -                   |

  Scenario: A harmful part is probed by one request at a time, over hours
    Given a leader of gateways that report crashes of runners
    When a part is quarantined, and each of 5 gateways asks for a probe every 10 s for 11 h, with a new leader each 3 h
    Then 3 probes were granted, one after the other

  Scenario Outline: A probe that <end>
    Given a leader of gateways that report crashes of runners
    When a part is quarantined, and its probe <end>
    Then <result>

    Examples:
      | end                           | result                                        |
      | succeeds                      | it is held no longer                          |
      | crashes its runner            | it is held, and not probed for 8 minutes      |
      | has no result                 | it is held again after 45 s, and not probed   |
      | is granted as the leader ends | the next leader grants none before its result |
      | succeeds, and a runner crashes later, in one report | it is held no longer    |

  Scenario Outline: Of parts quarantined together, <what> are probed by <request>
    Given a leader of gateways that report crashes of runners
    When gateways report 1:red/r1/bad,first,mid 2:red/r2/bad,first,mid
    And 6 s later a request with the parts <request> asks for a probe
    Then it is <granted>, and if it <ends> the parts held are <held>

    Examples:
      | what        | request       | granted | ends      | held                      |
      | the others  | first,mid     | granted | succeeds  | bad:red                   |
      | two of them | bad,first     | granted | crashes   | bad:red first:red         |
      | one of them | bad           | granted | crashes   | bad:red                   |
      | all of them | bad,first,mid | refused | -         | bad:red first:red mid:red |

  # Guards against a leader that ends as a part is released while another is
  # being quarantined.
  Scenario: Two probes without a result, of which one succeeds as the other expires
    Given a leader of gateways that report crashes of runners
    When gateways report 1:red/r1/bad,first,mid 2:red/r2/bad,first,mid
    And 6 s later a request with the parts first,mid asks for a probe
    And 46 s later the probes expire while a success of mid is reported
    Then the parts held are bad:red first:red

  # Guards against a leader that ends as it logs a part that is released in the
  # commit that quarantines it.
  Scenario: A part is released by an operator as its probe expires
    Given a leader of gateways that report crashes of runners
    When gateways report 1:red/r1/bad,first,mid 2:red/r2/bad,first,mid
    And 6 s later a request with the parts bad asks for a probe
    And 46 s later the probe of bad expires and an operator releases it, in one commit
    Then the parts held are first:red mid:red

  # Guards against the same in any order of reports, probes, releases and commits.
  Scenario: No schedule of reports, probes and releases ends a leader
    Then a leader goes on in 150 random schedules of reports, probes and releases

  Scenario: A part that is held for a team and for all is probed as one
    Given a leader of gateways that report crashes of runners
    When gateways report 1:red/r1/bad 2:red/r2/bad 3:blue/r3/bad 4:blue/r4/bad
    Then a request of either team has one key to probe, and its success releases both

  Scenario: A gateway tells of the last success of a part that is quarantined
    Given a leader of gateways that report crashes of runners
    When gateways report 1:red/r1/bad 2:red/r2/bad
    And a gateway that had answered a request with it hears of the quarantine
    Then it reports that success, and the part is released

  Scenario: The records of parts are bounded
    When a leader and a gateway see 6000 parts in crashes, and as many succeed
    Then each keeps 4000 of both, and reports 128 at a time
