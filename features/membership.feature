Feature: Members act on one configuration, and one owner admits
  Instances are cut off, stopped, killed and drained while they serve.

  Scenario: An instance that is cut off stops before the change is accepted
    Given a cluster of 3 instances with disks and 2 without
    And 1 engine with 4 streams
    And the operator applied "examples/fairway.yaml"
    And "n5" is cut off from all others
    When the operator removes team "volunteers" through "n4"
    Then the change was accepted
    And "n5" refuses team "volunteers" with "not_ready" and ran "no"
    And "n5" hands out no addresses
    When "n5" is reached again
    Then "n5" becomes ready
    And "n5" refuses team "volunteers" with "unauthorized" and ran "no"
    And "n5" serves team "advisers"

  Scenario: Two of three disks are lost: serving goes on, changes are refused
    Given a cluster of 3 instances with disks and 3 without
    And 1 engine with 4 streams
    And the operator applied "examples/fairway.yaml"
    When "n1" is killed
    And "n2" is killed
    And the operator removes team "volunteers" through "n4"
    Then the change was refused with "no_quorum"
    And "n4" becomes ready
    And "n4" serves team "advisers"
    And "n4" serves team "volunteers"

  Scenario: The leader is cut off for long
    Given a cluster of 3 instances with disks and 2 without
    And 1 engine with 4 streams
    And the operator applied "examples/fairway.yaml"
    When the leader is cut off from all others
    And the operator removes team "volunteers" through "n4"
    Then the change was accepted
    And the old leader refuses team "volunteers" with "not_ready" and ran "no"
    And "n4" serves team "advisers"
    When the old leader is reached again
    Then the old leader becomes ready
    And the old leader refuses team "volunteers" with "unauthorized" and ran "no"

  Scenario: An instance is stopped for longer than every lease and continued
    Given a cluster of 3 instances with disks and 2 without
    And 1 engine with 4 streams
    And the operator applied "examples/fairway.yaml"
    When "n5" is stopped
    And the operator removes team "volunteers" through "n4"
    Then the change was accepted
    When team "volunteers" asks "n5" just before it is continued
    Then that request was refused and nothing ran

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
    When 2 streams of 2500 tokens run through the others
    And the owner of "drafting" is killed
    And another instance owns "drafting"
    And 2 streams of 20 tokens run through the others
    Then no engine had more than its streams
    And all streams were whole

  Scenario: A leaving engine gets nothing new
    Given a cluster of 3 instances with disks and 1 without
    And 2 engines with 4 streams
    And the operator applied "examples/fairway.yaml"
    When engine "e0" leaves while requests come
    Then engine "e0" got no request 2 seconds after it announced that

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
