"""Steps for the log output."""

import fcntl
import logging
import os
import re
import time

from behave import given, then, when

from wagtailstep.utils.logging import BoundedHandler, log_event

F_SETPIPE_SZ = 1031
PIPE_BYTES = 4_096


def open_log(context, pipe_bytes):
    context.reading, writing = os.pipe()
    fcntl.fcntl(writing, F_SETPIPE_SZ, pipe_bytes)
    os.set_blocking(context.reading, False)
    context.seconds = 7.2
    handler = BoundedHandler(writing, lambda: context.seconds)
    context.logger = logging.Logger("test")
    context.logger.addHandler(handler)
    context.handler = handler
    context.lines = []
    context.add_cleanup(os.close, writing)
    context.add_cleanup(os.close, context.reading)


def read_lines(context):
    data = b""
    try:
        while chunk := os.read(context.reading, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    context.lines += data.decode().splitlines()
    return context.lines


@given("a log with a buffer for all its lines")
def open_large_log(context):
    open_log(context, 1 << 20)


@given("a log whose reader has stopped")
def open_stopped_log(context):
    open_log(context, PIPE_BYTES)


@when("{routine:d} routine lines and {failures:d} failures are logged within a second")
def log_routine_and_failures(context, routine, failures):
    for number in range(max(routine, failures)):
        if number < routine:
            log_event(context.logger, "routine-event", routine=True, number=number)
        if number < failures:
            log_event(context.logger, "failure-event", number=number)
    log_event(context.logger, "last")


@when("{count:d} failures are logged")
def log_failures(context, count):
    context.count = count
    started = time.process_time()
    for number in range(count):
        log_event(context.logger, "failure-event", number=number)
    context.took_s = time.process_time() - started


@then("logging took no more than {limit:d} s of processor time")
def check_time(context, limit):
    assert context.took_s <= limit, context.took_s


@when("the reader resumes and one more line is logged")
def resume_reading(context):
    read_lines(context)
    log_event(context.logger, "last")


def count_lines(context, event):
    return sum(f"event={event}" in line for line in read_lines(context))


@then("{routine:d} routine lines and {failures:d} failures are written")
def check_written(context, routine, failures):
    assert count_lines(context, "routine-event") == routine
    assert count_lines(context, "failure-event") == failures


def sum_missing_lines(context, name):
    text = "\n".join(read_lines(context))
    return sum(int(number) for number in re.findall(rf"{name}=(\d+)", text))


@then("{count:d} lines are reported as omitted")
def check_omitted(context, count):
    assert sum_missing_lines(context, "routine") == count, context.lines


@then("all missing lines were counted")
def check_counted(context):
    written = count_lines(context, "failure-event")
    assert written < context.count
    assert written + sum_missing_lines(context, "dropped") == context.count
