Feature: A request crosses the separate processes
  An operator submits a template and team parameters, targets announce
  themselves, and a caller that asked for addresses gets its whole answer.

  Scenario: A generation is streamed and a plain service is called
    Given a cluster of 3 instances with disks and 1 without
    And 2 engines and 1 plain service have announced themselves
    And the operator applied "examples/fairway.yaml"
    When team "advisers" streams 20 tokens from "drafting"
    Then the stream holds 20 tokens in order from one generation
    When team "advisers" calls "case-records" with POST "records/1"
    Then the plain service ran the call once

  Scenario: A caller with an unknown key is refused and nothing runs
    Given a cluster of 3 instances with disks and 1 without
    And 2 engines and 1 plain service have announced themselves
    And the operator applied "examples/fairway.yaml"
    When team "strangers" calls "case-records" with POST "records/1"
    Then the call fails with "unauthorized" and ran "no"
