Feature: Each key has at most one owner during every failure

  Background:
    Given a service divided by key with 3 backend servers in 2 data centres and 4 daemons

  Scenario: The coordinator is killed
    When the coordinator of a backend server is killed
    Then every key is served again
    And no key had two owners

  Scenario: The coordinator is paused and resumes
    When the coordinator of a backend server is paused
    Then every key is served again
    When the coordinator resumes
    Then every key is served again
    And no key had two owners

  Scenario: A backend server is killed
    When a backend server is killed
    Then every key is served again
    And no key had two owners

  Scenario: A backend server is paused and resumes
    When a backend server is paused
    Then every key is served again
    When the backend server resumes
    Then every key is served again
    And no key had two owners

  Scenario: The store is down
    When the store is down
    Then every key is still served in 20 rounds of requests
    And no key had two owners
