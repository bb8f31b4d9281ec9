Feature: Each key has one owner through every loss

  Background:
    Given a divided service of 3 backend servers in 2 data centres and 4 daemons

  Scenario: The coordinator is killed
    When the coordinator of a backend server is killed
    Then every key is served again
    And no key had two owners

  Scenario: The coordinator is paused and comes back
    When the coordinator of a backend server is paused
    Then every key is served again
    When the coordinator goes on
    Then every key is served again
    And no key had two owners

  Scenario: A backend server is killed
    When a backend server is killed
    Then every key is served again
    And no key had two owners

  Scenario: A backend server freezes and comes back
    When a backend server is paused
    Then every key is served again
    When the backend server goes on
    Then every key is served again
    And no key had two owners

  Scenario: The store is down
    When the store is down
    Then every key stays served for some seconds
    And no key had two owners
