Feature: A runner that sends bytes without end costs a bounded time and memory

  Such bytes may be in a head or in a body, and come until the gateway closes.
  The caller gets a whole answer from another runner, an error, or an answer
  that does not look complete, by its deadline of 700 ms at the latest.

  # Guards against answers that are taken into memory for as long as they come,
  # against waiting for the deadline where nothing of them can be an answer,
  # and against ends that look complete.
  Scenario Outline: A runner sends <bytes> without end
    Given a runner that sends <bytes> without end
    Then within bounds of memory a safe request gets <safe>, in <safe_s> s
    And within bounds of memory an unsafe request gets <unsafe>, in <safe_s> s
    And within bounds of memory a stream that may be resumed gets <stream>, in <stream_s> s
    And the runner has been closed each time

    Examples:
      | bytes                                  | safe  | safe_s | unsafe | stream  | stream_s |
      | what is no answer                      | whole | 0.4    | 502    | whole   | 0.4      |
      | one line of a head                     | whole | 0.4    | 502    | whole   | 0.4      |
      | lines of a head                        | whole | 0.4    | 502    | whole   | 0.4      |
      | interim answers                        | whole | 0.4    | 502    | whole   | 0.4      |
      | answers to other requests              | whole | 0.4    | 502    | whole   | 0.4      |
      | the body of an answer to another       | whole | 0.4    | 502    | whole   | 0.4      |
      | a body in chunks                       | cut   | 0.8    | cut    | whole   | 0.8      |
      | a body with no length                  | cut   | 0.8    | cut    | whole   | 0.8      |
      | a body with a length of 1 TB           | cut   | 0.8    | cut    | whole   | 0.8      |
      | the body of an error                   | whole | 0.8    | 502    | whole   | 0.8      |
      | the size of a chunk                    | whole | 0.4    | 502    | whole   | 0.4      |
      | the trailer of a last chunk            | whole | 0.4    | 502    | whole   | 0.4      |

  # Guards against small parts that are parsed, or joined, for so long that the
  # requests of others, elections among them, wait.
  Scenario Outline: <what> of 9000 chunks of one byte arrives at once
    When <what> of 9000 chunks of one byte arrives at once
    Then other tasks have run at least 200 times meanwhile
    And it is handed on in at most <pieces> pieces

    Examples:
      | what           | pieces |
      | An answer      | 2      |
      | A request body | 1      |

  # Guards against an answer that is dropped without another one where the
  # process was busy as its deadline passed.
  Scenario Outline: A process is busy past the deadline as the <what> of an answer has arrived
    When a <kind> request is sent, and the process is busy past its deadline before it sends the <what>
    Then its caller gets 504

    Examples:
      | kind      | what  |
      | unsafe    | whole |
      | streaming | head  |

  # Guards against answers that an agent passes on for as long as they come, and
  # that its gateway collects.
  Scenario Outline: An agent's runner sends <bytes> without end
    When an agent reads from a runner that sends <bytes> without end
    Then it ends with <error> after at most <most_mb> MB, within 5 s
    And the runner has been closed each time

    Examples:
      | bytes                             | error          | most_mb |
      | what is no answer                 | OutcomeUnknown | 0       |
      | lines of a head                   | OutcomeUnknown | 0       |
      | interim answers                   | OutcomeUnknown | 0       |
      | the body of an answer to another  | OutcomeUnknown | 0       |
      | a body in chunks                  | BadAnswer      | 33      |
      | a body with no length             | BadAnswer      | 33      |
      | a body with a length of 1 TB      | BadAnswer      | 33      |
      | the trailer of a last chunk       | BadAnswer      | 0       |

  # Guards against a caller that reads slowly, for whom an answer is held.
  Scenario Outline: <count> callers read <what> slowly
    Given a runner that sends <what>, and <count> callers that read nothing for 1500 ms
    Then the process holds under <held_mb> MB for them meanwhile
    And they get <result>

    Examples:
      | count | what                        | held_mb | result            |
      | 10    | 4 MB with a length          | 12      | whole             |
      | 10    | 4 MB in chunks              | 12      | whole             |
      | 10    | 4 MB with no length         | 12      | whole             |

  # Guards against memory that grows with the number of slow callers.
  Scenario Outline: <count> callers read 4 MB <framing> slowly, for whom 2 MB are held
    Given a process that holds 2 MB of answers for all callers
    And a runner that sends 4 MB <framing>, and <count> callers that read nothing for 1500 ms
    Then the process holds under <held_mb> MB for them meanwhile
    And they get whole

    Examples: 2 MB, and for each a read that is being parsed and sent
      | count | framing     | held_mb |
      | 80    | with a length  | 16   |
      | 80    | in chunks      | 16   |
      | 80    | with no length | 16   |

  # Guards against a second answer behind a part of the first one.
  Scenario: A long answer that its runner breaks off is not sent again
    When a safe request gets half of a body of 4 MB with a length
    Then its caller gets a part of it that does not look complete
    And no other runner gets the request

  # Guards against request bodies that take the memory of the process, and
  # against bytes that are counted for ever.
  Scenario Outline: Callers send bodies slowly, and <end>
    Given a gateway that holds 4000 bytes of request bodies
    When two callers have sent 1500 bytes of bodies with 1900, and <end>
    Then a third such caller <third>, and a fourth one later gets 200

    Examples:
      | end                | third                        |
      | wait               | gets 503 and the code 1217   |
      | leave              | gets 200                     |
      | send the rest      | gets 200                     |

  # Guards against bodies that are copied, or collected without a bound, for
  # runners that read them slowly.
  Scenario Outline: Runners read the bodies of <count> requests slowly
    Given a gateway that holds 24 MB of request bodies for runners that read slowly
    When <count> callers send bodies of 1 MB
    Then the process holds under <held_mb> MB for them meanwhile
    And <whole> of the bodies arrive whole, and as many callers get 200
    And the other callers get 503 and the code 1217, before they have sent all

    Examples:
      | count | held_mb | whole |
      | 16    | 24      | 16    |
      | 40    | 36      | 24    |

  # Guards against a 200 with an empty or short body after half a head.
  Scenario Outline: A runner closes at any byte of a head framed by <framing>
    Given a runner that closes after each number of bytes of a head framed by <framing>
    Then no caller gets a 200 that looks complete, unless another runner answered

    Examples:
      | framing |
      | length  |
      | chunks  |
      | close   |
