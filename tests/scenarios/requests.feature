Feature: Requests under load and faults

  Background:
    Given a system with lookups, bookings and scans behind 3 daemons

  Scenario: A booking sent again through another daemon runs once
    When a booking is sent through two daemons at once, and once more later
    Then each of the three answers is the same
    And the booking ran once

  Scenario: A coordinator is killed while a booking runs
    Given bookings take 2000 ms
    When a booking is sent through another daemon, and its coordinator is killed
    Then the outcome is reported as unknown, or the answer is complete
    And a retry is reported as unknown, or answered completely
    And the booking ran once

  Scenario: An upload is finished while its daemon shuts down
    When a daemon is asked to stop during an upload
    Then the upload is answered completely, and the daemon exits with status 0

  Scenario: Overload is refused at once
    Given lookups take 100 ms
    When 200 lookups of 4 keys are sent at once
    Then some are refused without having run, with a time to retry
    And no backend server had more in flight than its slots

  Scenario: A cold server gets no more than its capacity once the cold start is known
    Given the lookup servers are put into a cold start
    When lookups are sent for 3 s
    Then no lookup server got more than its capacity
