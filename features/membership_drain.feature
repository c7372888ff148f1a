Feature: A planned stop cuts off no request
  Instances are drained alone, together and behind a partition.

  Scenario: An instance is drained with a long stream on it
    Given a cluster of 3 instances with disks and 2 without
    And 2 engines with 4 streams
    And the operator applied "examples/fairway.yaml"
    When a stream of 1500 tokens runs through "n5"
    And callers keep asking for addresses and connecting
    And "n5" gets SIGTERM
    And "n5" gets SIGTERM
    Then "n5" ends with exit code 0
    And all streams were whole
    And no caller met a refused connection
    And "n4" lists no member "n5"

  Scenario: The leader and another instance are drained at once
    Given a cluster of 3 instances with disks and 2 without
    And 2 engines with 4 streams
    And the operator applied "examples/fairway.yaml"
    When a stream of 1000 tokens runs through "n5"
    And callers keep asking for addresses and connecting
    And the leader gets SIGTERM
    And "n5" gets SIGTERM
    Then "n5" ends with exit code 0
    And the old leader ends with exit code 0
    And all streams were whole
    And no caller met a refused connection

  Scenario: An instance is drained while it is cut off
    Given a cluster of 3 instances with disks and 2 without
    And 1 engine with 4 streams
    And the operator applied "examples/fairway.yaml"
    When a stream of 500 tokens runs through "n5"
    And "n5" is cut off from all others
    And "n5" gets SIGTERM
    Then "n5" ends with exit code 0
    And all streams were whole
