Feature: whole answers and true refusals

  Background:
    Given an engine "e1" with versions "rapport:1"
    And a profile "reports" with versions "rapport:1"
    And routers "r1 in mtl-a"

  @whole-answer
  Scenario: a stream breaks on its way
    Given "e1" breaks the next stream after 20 tokens
    When a caller asks for a stream of 60 tokens at "r1"
    Then the answer is whole with 60 tokens in order

  @whole-answer
  Scenario: an engine is killed in the middle of an answer
    When a caller starts a stream of 400 tokens at "r1"
    And "e1" is killed
    And all callers have their answers
    Then no answer looks whole
    And the answer ends with the error "answer-broken"

  @whole-answer
  Scenario: answers come crossed
    Given "e1" crosses the next 1 answers
    When callers send 4 requests at "r1"
    Then all answers have status 200
    And each answer is that of its own request

  @whole-answer
  Scenario: an engine fails before it answers
    Given "e1" fails the next 1 requests
    And an engine "e2" with versions "rapport:1"
    When callers send 4 requests at "r1"
    Then all answers have status 200
    And each answer is that of its own request

  @whole-answer
  Scenario: streams leave a server that has become slow
    Given an engine "e2" with versions "rapport:1"
    And an engine "e3" with versions "rapport:1"
    When callers start 9 streams of 300 tokens at "r1"
    And "e1" becomes 40 times slower
    And all callers have their answers
    Then all answers are whole with 300 tokens in order
    And "r1" has counted "answers.moved"

  @not-run
  Scenario: every engine refuses
    Given "e1" refuses everything
    When callers send 3 requests at "r1"
    Then all answers say ran "no"
    And "e1" ran 0 requests

  @not-run
  Scenario: an engine fails after it may have run the request
    Given "e1" fails the next 9 requests
    When callers send 1 requests at "r1"
    Then the answer says ran "unknown"

  @not-run
  Scenario: the only engine is killed while it runs the request
    When a caller starts a request of 300 tokens at "r1"
    And "e1" runs 1 requests
    And "e1" is killed
    And all callers have their answers
    Then the answer says ran "unknown"
