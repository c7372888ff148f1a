Feature: Members act on one configuration
  Instances are cut off, stopped and lost while the operator changes it.

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

  Scenario: Two of three disks and the owner of the engines are lost
    Given a cluster of 3 instances with disks and 4 without
    And 1 engine with 4 streams
    And the operator applied "examples/fairway.yaml"
    When "n1" is killed
    And "n2" is killed
    And the owner of "drafting" is killed
    Then an instance that is left serves team "advisers"

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
