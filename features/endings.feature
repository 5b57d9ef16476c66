Feature: Nothing is taken for complete without evidence

  A connection that closes is evidence of the end only where nothing better can
  exist. Whoever reads an answer, a stream or a report needs another.

  # Guards against the reuse of a connection on which a response was sent only
  # in part, so that the next response completes it.
  Scenario Outline: A connection on which <part> was cancelled is not used again
    When the deadline passes while a caller does not read <part>
    Then the caller finds its response incomplete, and no response behind it

    Examples:
      | part                |
      | a complete response |
      | the end of a stream |
      | an event            |

  # Guards against an abort, or the death of this process, that a caller can't
  # distinguish from the end of its response.
  Scenario Outline: A <what> over <protocol> is <seen>
    When a caller requests a <what> over <protocol>
    Then it finds its response <seen>

    Examples:
      | what                               | protocol                    | seen             |
      | stream                             | HTTP/1.1                    | complete         |
      | stream                             | HTTP/1.1, Connection: close | complete         |
      | stream                             | HTTP/1.0                    | complete         |
      | stream                             | HTTP/1.0, keep-alive        | complete         |
      | stream that is aborted             | HTTP/1.1                    | incomplete       |
      | stream that is aborted             | HTTP/1.1, Connection: close | incomplete       |
      | stream that is aborted             | HTTP/1.0                    | missing          |
      | stream that is aborted             | HTTP/1.0, keep-alive        | missing          |
      | stream that is aborted             | pipelined HTTP/1.1          | incomplete       |
      | stream that is aborted at its head | HTTP/1.1                    | incomplete       |
      | stream that is aborted at its head | HTTP/1.0                    | missing          |
      | response that is aborted           | HTTP/1.1                    | missing          |
      | response that is aborted           | HTTP/1.0                    | missing          |

  # Guards against streams that a runner broke off within an event, and that an
  # agent passes on as complete.
  Scenario Outline: An agent's runner that ends a stream <where>, framed by <framing>
    When an agent reads a chat stream that ends <where>, framed by <framing>
    Then the agent takes it for <seen>

    Examples:
      | where                        | framing    | seen       |
      | after its last event         | its length | complete   |
      | after its last event         | chunks     | complete   |
      | after its last event         | its close  | complete   |
      | after its last event in CRLF | its close  | complete   |
      | within an event              | its length | broken off |
      | within an event              | chunks     | broken off |
      | within an event              | its close  | broken off |
      | within an event in CRLF      | its close  | broken off |
      | by a reset                   | its length | broken off |
      | by a reset                   | chunks     | broken off |
      | by a reset                   | its close  | broken off |

  # Guards against streams whose runner ends with its connection between two
  # events, and that an agent passes on as complete.
  Scenario Outline: A stream of <path> that ends <where>, framed by <framing>
    When an agent reads a stream of <path> that ends <where>, framed by <framing>
    Then the agent takes it for <seen>

    Examples:
      | path                 | where                  | framing   | seen       |
      | /v1/chat/completions | between two events     | its close | broken off |
      | /v1/chat/completions | before its first event | its close | broken off |
      | /v1/chat/completions | between two events     | chunks    | complete   |
      | /v1/services/plain   | between two events     | its close | complete   |
      | /v1/services/plain   | before its first event | its close | broken off |
      | /v1/services/plain   | before its first event | chunks    | complete   |
      | /v1/services/plain   | as its runner crashes  | its close | broken off |
      | /v1/services/plain   | as it leaves, slowly   | its close | broken off |
      | /v1/services/plain   | as it crashes, slowly  | its close | broken off |

  # Guards against a surplus answer on a connection that an agent takes for that
  # of its next request.
  Scenario Outline: An agent's runner that answers <first> before the request's own answer
    When an agent sends request "b" and its runner answers <first> before it
    Then the agent takes the answer of <taken>

    Examples:
      | first                   | taken |
      | request "a" again       | b     |
      | request "a" in chunks   | b     |
      | nothing                 | b     |
      | without naming requests | none  |

  # Guards against answers of the gateway that look complete to a caller after
  # its runner, its agent or the gateway itself has died.
  Scenario: What callers of a gateway get when a process or a connection ends
    Given a system with 1 controller(s), 1 gateway(s) and 0 agent(s)
    And an agent whose runner ends its answers as requests name it
    Then callers get these chat streams
      | ends                   | protocol | seen               |
      | after its last event   | HTTP/1.1 | complete           |
      | after its last event   | HTTP/1.0 | complete           |
      | within an event        | HTTP/1.1 | incomplete         |
      | within an event        | HTTP/1.0 | refused as ran     |
      | between two events     | HTTP/1.1 | incomplete         |
      | before its first event | HTTP/1.1 | refused as ran     |
      | before its head        | HTTP/1.1 | refused as unknown |
      | with status 000        | HTTP/1.1 | refused as unknown |
      | with status 999        | HTTP/1.1 | refused as unknown |
      | with status 999        | HTTP/1.0 | refused as unknown |
      | by a reset             | HTTP/1.1 | incomplete         |
      | by a reset             | HTTP/1.0 | refused as ran     |
      | as the agent dies      | HTTP/1.1 | incomplete         |
      | as the agent dies      | HTTP/1.0 | refused as unknown |
      | as the gateway dies    | HTTP/1.1 | incomplete         |
      | as the gateway dies    | HTTP/1.0 | missing            |

  # Guards against callers of HTTP/2 that are told nothing of an aborted stream,
  # and wait for their own time-out.
  Scenario: What callers of a gateway get by HTTP/2
    Given a system with 1 controller(s), 1 gateway(s) and 0 agent(s)
    And an agent whose runner ends its answers as requests name it
    Then callers get these chat streams
      | ends                   | protocol | seen               |
      | after its last event   | HTTP/2   | complete           |
      | within an event        | HTTP/2   | ended by an error  |
      | between two events     | HTTP/2   | ended by an error  |
      | before its first event | HTTP/2   | refused as ran     |
      | before its head        | HTTP/2   | refused as unknown |
      | with status 999        | HTTP/2   | refused as unknown |
      | by a reset             | HTTP/2   | ended by an error  |
      | as the agent dies      | HTTP/2   | ended by an error  |

  # Guards against an order that is logged as not given although the engine may
  # have carried it out.
  Scenario Outline: An order whose answer <answer> is <outcome>
    When an engine's answer to an order <answer>
    Then the log has the order as <outcome>

    Examples:
      | answer                           | outcome   |
      | is 202                           | taken     |
      | is 202 and closes without length | taken     |
      | is 202 and breaks off            | unknown   |
      | is 202 and is reset              | unknown   |
      | is 409                           | refused   |
      | is 409 and breaks off            | unknown   |
      | is 409 and is reset              | unknown   |
      | is 500                           | unknown   |
      | is 302                           | unknown   |
      | ends within its head             | unknown   |
      | never comes                      | unknown   |
      | finds no engine                  | not given |

  # Guards against "not run" said of a request that a runner ran and broke off,
  # because another one refused the retry.
  Scenario: A retry that is refused does not hide the attempt before it
    Given a system of 1 gateways, 2 agents and 3 controllers
    When one runner breaks off its answers, and the other refuses all requests
    Then no request that ran is reported as not run

  # Guards against a document that is printed as whole although its answer was
  # broken off, and against commands that end without a coded error.
  Scenario Outline: mountridge <command>, with an answer that <answer>
    When an operator runs <command> and the answer <answer>
    Then the command exits with code <code>

    Examples:
      | command           | answer                        | code |
      | routes get        | is whole                      | 0    |
      | routes get        | closes as it should           | 0    |
      | routes get        | closes too early              | 3    |
      | routes get        | is shorter than its length    | 3    |
      | routes get        | is reset                      | 3    |
      | routes get        | is an error that is cut       | 3    |
      | routes get        | is an error of another server | 3    |
      | routes get        | has status 000                | 3    |
      | routes get        | has status 999                | 3    |
      | halls list        | closes too early              | 3    |
      | halls drain north | closes too early              | 3    |
      | halls drain north | is reset                      | 3    |
      | halls drain north | has status 999                | 3    |

  # Guards against a request that ends without an answer, of which the log does not
  # tell why.
  Scenario: A request that fails unexpectedly is logged with where it failed
    When the handler of a request fails with a KeyError
    Then the log has a line on it, with the line of code that failed

  # Guards against a snapshot that is put together from those of two leaders,
  # whose bytes may differ.
  Scenario: A snapshot that a new leader sends is received from its start
    When a leader fails after half of a snapshot, and the next one sends its own
    Then the controller has installed the snapshot of the second leader
