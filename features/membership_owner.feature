Feature: One owner admits to a target
  Owners are stopped and killed, and engines leave, while callers stream.

  Scenario: The owner of the engines is stopped, and continued as another owns
    Given a cluster of 3 instances with disks and 2 without
    And 1 engine with 2 streams
    And the operator applied "examples/fairway.yaml"
    When the owner of "drafting" is stopped
    And another instance owns "drafting"
    And 2 streams of 1500 tokens run through the others
    And a request waits at the old owner as it is continued
    Then no engine had more than its streams
    And all streams were whole

  Scenario: The owner is killed while its engines are full
    Given a cluster of 3 instances with disks and 2 without
    And 1 engine with 2 streams
    And the operator applied "examples/fairway.yaml"
    When 2 streams of 1200 tokens run through the others
    And the owner of "drafting" is killed
    And another instance owns "drafting"
    And an answer of 20 tokens is asked for until it is served
    Then no engine had more than its streams
    And all streams were whole

  Scenario: A leaving engine gets nothing new
    Given a cluster of 3 instances with disks and 1 without
    And 2 engines with 4 streams
    And the operator applied "examples/fairway.yaml"
    When engine "e0" leaves while requests come
    Then engine "e0" got no request 2 seconds after it announced that
