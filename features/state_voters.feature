Feature: Voters are repaired, and recovered by force

  Scenario: A second instance is lost right after a repair
    A disk is lost and its instance comes back with an empty folder, hence
    with a new identity and without a vote.  The operator adds it and removes
    the old identity; as soon as "repaired" is said, another voter is killed
    for good.  Had the new one not held everything, the two that are left
    could elect a leader that lacks accepted changes.
    Given a cluster of 3 instances with disks and 1 without
    And change "c1" wrote team "one"
    When the data folder of "n3" is lost and the instance restarts
    Then "n3" has a new identity and no vote
    When the operator adds "n3" as a voter
    Then the voters are not said to be repaired
    When the operator removes the lost identity
    Then the voters are said to be repaired
    When "n1" is killed and its data folder is lost
    Then team "one" is still at the version of "c1" everywhere
    And change "c2" can write team "two"

  Scenario: An empty folder never founds a cluster and never votes
    Given a cluster of 3 instances with disks and 0 without
    And change "c1" wrote team "one"
    When the data folder of "n3" is lost and the instance restarts
    And "n2" is killed and its data folder is lost
    Then no change is accepted
    And "n3" has a new identity and no vote

  Scenario: The majority of the disks is gone for good
    Two of three disks are lost.  Nothing recovers by itself; the survivor
    refuses without the operator's explicit word, then goes on alone with
    all that it holds, and new instances are added.
    Given a cluster of 3 instances with disks and 0 without
    And change "c1" wrote team "one"
    When the operator forces a recovery at "n1"
    Then it is refused as nothing is to be recovered
    When "n2" is killed and its data folder is lost
    And "n3" is killed and its data folder is lost
    Then no change is accepted
    When the operator forces a recovery at "n1" without accepting a loss
    Then it is refused with what may be lost
    When the operator forces a recovery at "n1"
    Then "n1" goes on alone and says what may be lost
    And team "one" is still at the version of "c1" everywhere
    When "n2" starts anew
    And the operator adds "n2" as a voter
    Then the voters are said to be repaired
    And change "c2" can write team "two"

  Scenario: A voter that runs is removed and goes on without a vote
    Given a cluster of 3 instances with disks and 0 without
    And change "c1" wrote team "one"
    When the operator removes "n3" as a voter
    Then the voters are said to be repaired
    And change "c2" can write team "two"
    And team "two" is still at the version of "c2" everywhere
    When the operator adds "n3" as a voter again
    Then it is refused until the instance restarts
    When "n3" restarts
    And the operator adds "n3" as a voter
    Then the voters are said to be repaired
