Feature: whole answers and accurate refusals

  Background:
    Given an engine "e1" with versions "rapport:1"
    And a profile "reports" with versions "rapport:1"
    And routers "r1 in mtl-a"

  @whole-answer
  Scenario: a stream breaks midway
    Given "e1" breaks the next stream after 20 tokens
    When a caller requests a stream of 60 tokens from "r1"
    Then the answer is whole with 60 tokens in order

  @whole-answer
  Scenario: an engine is killed in the middle of an answer
    When a caller starts a stream of 400 tokens from "r1"
    And "e1" is killed
    And all callers have received their answers
    Then no answer looks whole
    And the answer ends with the error "answer-broken"

  @whole-answer
  Scenario: an engine sends an answer under the wrong request id
    Given "e1" sends the next 1 answers under another request's id
    When callers send 4 requests to "r1"
    Then all answers have status 200
    And each answer belongs to its own request

  @whole-answer
  Scenario: an engine fails before it answers
    Given "e1" fails the next 1 requests
    And an engine "e2" with versions "rapport:1"
    When callers send 4 requests to "r1"
    Then all answers have status 200
    And each answer belongs to its own request

  @whole-answer
  Scenario: streams move away from a server that has become slow
    Given an engine "e2" with versions "rapport:1"
    And an engine "e3" with versions "rapport:1"
    When callers start 9 streams of 300 tokens from "r1"
    And "e1" becomes 40 times slower
    And all callers have received their answers
    Then all answers are whole with 300 tokens in order
    And "r1" has incremented the counter "answers.moved"

  @not-run
  Scenario: every engine refuses
    Given "e1" refuses everything
    When callers send 3 requests to "r1"
    Then all answers report ran "no"
    And "e1" ran 0 requests

  @not-run
  Scenario: an engine fails after it may have run the request
    Given "e1" fails the next 9 requests
    When callers send 1 requests to "r1"
    Then the answer reports ran "unknown"

  @not-run
  Scenario: the only engine is killed while it runs the request
    When a caller starts a request of 300 tokens to "r1"
    And "e1" runs 1 requests
    And "e1" is killed
    And all callers have received their answers
    Then the answer reports ran "unknown"
