"""The gateway process on an entry host of the users' platform."""

import functools
import logging
import math
import time

import eventlet
from eventlet import wsgi

from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _attempt
from zinniadyke.gateway import _call
from zinniadyke.gateway import _call_builder
from zinniadyke.gateway import _caller_connection
from zinniadyke.gateway import _caller_wait
from zinniadyke.gateway import _caller_writer
from zinniadyke.gateway import _crash_guard
from zinniadyke.gateway import _forward
from zinniadyke.gateway import _interest
from zinniadyke.gateway import _load_listener
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _request
from zinniadyke.gateway import _returning_callers
from zinniadyke.gateway import _standstill
from zinniadyke.gateway import _stop
from zinniadyke.gateway import _target_table
from zinniadyke import listening
from zinniadyke import platform
from zinniadyke.platform import headers
from zinniadyke import reports
from zinniadyke import requests
from zinniadyke import settings
from zinniadyke import telemetry

LOG = logging.getLogger(__name__)

READY_PATH = "/v1/ready"
# The load balancer removes a host after two failed checks, one per second;
# until then it may open new connections.
BALANCER_REMOVAL_S = 2.5
# Callers have been told by then to open their next connection elsewhere.
SHUTDOWN_ACCEPT_S = 3.0
# Part of the grace period reserved for closing connections.
EXIT_MARGIN_S = 0.5
# Part of that time in which callers take the answers to interrupted requests.
INTERRUPT_S = 0.3
INTERRUPT_CHECK_S = 0.01
# Requests that have no slot yet this long before the end are refused: they
# would be cut off if they began.
REFUSE_WAITING_S = 2.0
STOPPING_RETRY_S = 0.05
STOP_CHECK_S = 0.05
# Time without a request after which a stopping entry closes a connection. The
# request of a caller that has just connected is on its way for less.
IDLE_S = 1.0
ACCEPT_RETRY_S = 0.05
NOT_READY_RETRY_S = 0.3
MS_PER_S = 1000.0
# Interval of the gauge of held bytes.
MEMORY_REPORT_S = 1.0
# Part of the time to notice a leaving target for which changes of
# registrations are gathered, as every call to the store has a price.
TARGETS_BATCH_SHARE = 0.25
# Part of the time to evacuate a zone for which changes are gathered.
EVACUATIONS_BATCH_SHARE = 0.1
# Part of that time which a watch waits at most. One whose answer is lost is
# noticed 0.6 s later, and a list that follows it also has its time limit.
EVACUATIONS_WATCH_SHARE = 0.6
# A watch ends this long before the operators' bounds must hold again after a
# disruption, so that a silent connection is noticed and replaced by then.
WATCH_MARGIN_S = 1.0
WSGI_LOG = logging.getLogger("zinniadyke.gateway.wsgi")
WSGI_LOG.propagate = False
WSGI_LOG.addHandler(logging.NullHandler())


class Gateway:
    """Forwards callers' requests to the targets listed by the platform."""

    def __init__(self, *, loaded: settings.PlatformProcessSettings) -> None:
        """Bind the sockets; :meth:`start` begins to serve."""
        self.settings = loaded
        self.view = directory.View()
        self.view.watches_versions = True
        self.wait_estimator = _caller_wait.CallerWaitEstimator()
        self.store = platform.StoreClient(address=loaded.store.address)
        watch_wait_s = (
            loaded.bounds.stable_window_ms / MS_PER_S - WATCH_MARGIN_S
        )
        self.followers = [
            platform.follow_configuration(self.store, self.view),
            platform.follow_targets(
                self.store,
                self.view,
                batch_window_s=TARGETS_BATCH_SHARE
                * loaded.bounds.drain_ms
                / MS_PER_S,
            ),
            platform.follow_versions(self.store, self.view),
        ]
        for follower in self.followers:
            follower.watch_wait_s = watch_wait_s
        regions = {r.zone: r.region for r in loaded.host.regions}
        evacuate_s = loaded.bounds.evacuate_ms / MS_PER_S
        self.evacuations: directory.Follower | None = None
        if evacuate_s > 0:
            self.view.follows_evacuations = True
            self.evacuations = platform.follow_evacuations(
                self.store,
                self.view,
                zones={loaded.host.zone, *regions},
                batch_window_s=EVACUATIONS_BATCH_SHARE * evacuate_s,
            )
            self.evacuations.watch_wait_s = min(
                watch_wait_s, EVACUATIONS_WATCH_SHARE * evacuate_s
            )
            self.followers.append(self.evacuations)
        self.target_table = _target_table.TargetTable(
            view=self.view,
            version_bound_s=loaded.bounds.version_ms / MS_PER_S,
            select_targets=functools.partial(
                self._select_targets, regions=regions
            ),
            regions=regions,
            make_cold_limit=functools.partial(
                _cold_limit, bounds=loaded.bounds
            ),
        )
        self.crash_guard = _crash_guard.CrashGuard(
            name=loaded.host.name,
            region=loaded.host.region,
            regions=regions,
            target_table=self.target_table,
        )
        self.returning_callers = _returning_callers.ReturningCallers(
            relays=self.crash_guard.local_relays
        )
        self.memory = _memory_budget.ProcessMemory(
            memory_mb=loaded.host.memory_mb
        )
        self.forwarder = _forward.Forwarder(
            view=self.view,
            target_table=self.target_table,
            zone_penalty=_placement.zone_penalties(loaded.host.zone, regions),
            regions=regions,
            bounds=loaded.bounds,
            crash_guard=self.crash_guard,
            memory=self.memory,
        )
        self.load_listener = _load_listener.LoadListener(
            name=loaded.host.name,
            region=loaded.host.region,
            ip=loaded.host.ip,
            port=loaded.host.ports[0],
            view=self.view,
            target_table=self.target_table,
            on_report=self.forwarder.admit_waiting,
        )
        self.standstill_guard = _standstill.StandstillGuard(
            refresh=self._refresh_evacuations
        )
        if self.evacuations is not None:
            self.forwarder.wait_up_to_date = self.standstill_guard.wait
        self.load_listener.own_demand = self.forwarder.demand_by_address
        self.crash_guard.send = self.load_listener.send
        self.returning_callers.send = self.load_listener.send
        borrower = self.forwarder.token_borrower
        borrower.send = self.load_listener.send
        self.load_listener.handlers = {
            reports.TokenAnswer: borrower.handle_answer,
            reports.CrashReport: self.crash_guard.handle_crash,
            reports.SuspectNews: self.crash_guard.handle_news,
            reports.RefusedCallers: self.returning_callers.handle_refused,
        }
        self.tasks: list[eventlet.greenthread.GreenThread] = []
        self.accept_task: eventlet.greenthread.GreenThread | None = None
        self.callers: set[_caller_connection.CallerConnection] = set()
        self.stopping_since: float | None = None
        self.recent_times = _stop.RecentTimes()
        # Configuration whose routes are remembered.
        self.remembered: directory.ServingConfiguration | None = None
        self.view.on_change.append(self._forget_removed_routes)
        self.requests_socket = listening.listen(loaded.listen.requests)
        self.ready_socket = listening.listen(loaded.listen.ready)

    def _forget_removed_routes(self) -> None:
        """Drop what is kept of routes that the configuration removed."""
        configuration = self.view.configuration
        if configuration is None or configuration is self.remembered:
            return
        self.remembered = configuration
        names = {
            route.name
            for routes in configuration.routes.values()
            for route in routes
        }
        self.recent_times.forget_others(names)
        self.wait_estimator.forget_others(names)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections."""
        return self.view.complete and self.stopping_since is None

    def _select_targets(
        self, targets: list[directory.Target], *, regions: dict[str, str]
    ) -> list[directory.Target]:
        """Return the targets of a service with engines that are used."""
        configuration = self.view.configuration
        return _interest.select_targets(
            targets,
            entry=self.settings.host.name,
            region=self.settings.host.region,
            regions=regions,
            evacuated_zones=self.view.evacuated_zones,
            named_regions=(
                configuration.named_regions() if configuration else ()
            ),
        )

    def _refresh_evacuations(self) -> bool:
        """Ask agents and the store; return whether the store answered."""
        self.load_listener.named.send()
        return self.evacuations.try_relist()

    def start(self) -> None:
        """Start the background tasks, which run until :meth:`close`."""
        tasks = [follower.run for follower in self.followers]
        tasks += [self.load_listener.subscribe, self.load_listener.receive]
        tasks += [self._serve_ready, self._report_memory]
        if self.evacuations is not None:
            tasks.append(self.standstill_guard.run)
        self.tasks = [eventlet.spawn(task) for task in tasks]
        self.accept_task = eventlet.spawn(self._accept)

    def shut_down(self) -> bool:
        """Drain connections; return whether all ended in the grace period."""
        self.stopping_since = started = time.monotonic()
        end = self._stops_at()
        for caller in self.callers:
            caller.close_after_response = True
        while time.monotonic() < end:
            removed_from_balancer = (
                time.monotonic() > started + BALANCER_REMOVAL_S
            )
            if removed_from_balancer:
                self._stop_listening()
                for caller in list(self.callers):
                    caller.close_if_idle(IDLE_S)
            if removed_from_balancer and not self.callers:
                break
            if time.monotonic() > end - REFUSE_WAITING_S:
                self.forwarder.refuse_waiting()
            eventlet.sleep(STOP_CHECK_S)
        ended = not self.callers
        if not ended:
            self._interrupt_requests()
        return ended

    def _interrupt_requests(self) -> None:
        """Answer or break off what still runs, just before the end."""
        error = errors.RequestError(
            "the host is shutting down; the request may have run",
            code=errors.ResultCode.OUTCOME_UNKNOWN,
        )
        interrupted = [c for c in self.callers if c.interrupt(error)]
        telemetry.count(telemetry.Metric.STOP_INTERRUPTED, by=len(interrupted))
        LOG.warning(
            "requests interrupted by the stop",
            extra={
                "requests": len(interrupted),
                "connections": len(self.callers),
            },
        )
        with eventlet.Timeout(INTERRUPT_S, False):
            while any(caller in self.callers for caller in interrupted):
                eventlet.sleep(INTERRUPT_CHECK_S)

    def _stop_listening(self) -> None:
        """Take the connections that are established by now, and no more."""
        if self.accept_task is None:
            return
        self.accept_task.kill()
        self.accept_task = None
        while sock := listening.accept_now(self.requests_socket):
            eventlet.spawn_n(self._serve_caller, sock)
        self.requests_socket.close()
        # They count as callers once they are served.
        eventlet.sleep(0)

    def close(self) -> None:
        """Stop all tasks and close the sockets, without draining."""
        for task in self.tasks:
            task.kill()
        if self.accept_task is not None:
            self.accept_task.kill()
        for sock in (self.requests_socket, self.ready_socket):
            sock.close()
        self.load_listener.sock.close()

    def _report_memory(self) -> None:
        while True:
            telemetry.gauge(
                telemetry.Metric.HELD_BYTES, self.memory.total.held
            )
            eventlet.sleep(MEMORY_REPORT_S)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.requests_socket.accept()
            except OSError as error:
                LOG.warning("accept failed", extra={"reason": str(error)})
                eventlet.sleep(ACCEPT_RETRY_S)
                continue
            eventlet.spawn_n(self._serve_caller, sock)

    def _serve_caller(self, sock) -> None:
        caller = _caller_connection.CallerConnection(
            sock=sock,
            read_limits=self._read_limits,
            handle_request=self._handle_request,
            memory=self.memory.open_connection(),
        )
        caller.close_after_response = False
        self.callers.add(caller)
        try:
            caller.serve()
        except Exception:
            LOG.exception("caller connection failed")
        finally:
            self.callers.discard(caller)

    def _read_limits(self) -> directory.CallerLimits:
        configuration = self.view.configuration
        if configuration is None:
            return directory.CallerLimits()
        return configuration.limits

    def _handle_request(
        self,
        request: _request.CallerRequest,
        caller: _caller_connection.CallerConnection,
    ) -> None:
        if self.stopping_since is not None:
            caller.close_after_response = True
        call = None
        code = errors.ResultCode.OK
        try:
            if request.refusal is not None:
                raise request.refusal
            self._check_accepting()
            call = _call_builder.build_call(
                request, self.view.configuration, self.wait_estimator
            )
            self._check_can_end(call)
            if self.forwarder.has_variable_capacity(call.service):
                self.returning_callers.recognize(call)
            caller.writer.stall_s = _caller_writer.stall_s(
                call.route.objective_s, call.route.max_gap_s
            )
            self.forwarder.serve(call, caller)
            caller.flush()
            self.recent_times.record(
                call.route, time.monotonic() - request.arrived_at
            )
        except errors.RequestError as error:
            code = error.code
            self._record_refusal(call, error)
            self._send_error(request, caller, error)
        except _caller_connection.CallerDisconnectedError:
            code = errors.ResultCode.CANCELLED
            if caller.broken_off:
                code = errors.ResultCode.STREAM_BROKEN
            raise
        except Exception:
            code = errors.ResultCode.INTERNAL
            LOG.exception("request failed")
            if caller.head_sent:
                caller.abort()
            else:
                self._send_error(
                    request, caller, errors.RequestError(code=code)
                )
        finally:
            self._log_request(request, call, code)

    def _record_refusal(
        self, call: _call.Call | None, error: errors.RequestError
    ) -> None:
        """Remember a caller that is told to come back."""
        if (
            call is not None
            and error.retry_after_s is not None
            and self.forwarder.has_variable_capacity(call.service)
        ):
            self.returning_callers.record_refusal(call)

    def _check_accepting(self) -> None:
        if not self.view.complete:
            raise errors.RequestError(
                code=errors.ResultCode.NOT_READY,
                retry_after_s=NOT_READY_RETRY_S,
            )
        since = self.stopping_since
        if since is not None and time.monotonic() > since + SHUTDOWN_ACCEPT_S:
            raise errors.RequestError(
                code=errors.ResultCode.SHUTTING_DOWN,
                retry_after_s=STOPPING_RETRY_S,
            )

    def _check_can_end(self, call: _call.Call) -> None:
        """Refuse a request that might be cut off by the end of a stop."""
        if self.stopping_since is None:
            return
        left_s = self._stops_at() - time.monotonic()
        latest_end_s = call.remaining_s + _attempt.RESPONSE_GRACE_S
        expected_s = self.recent_times.longest_s(call.route)
        if _stop.may_begin(
            left_s=left_s,
            latest_end_s=latest_end_s,
            expected_s=expected_s,
            retry_mode=call.route.retry_mode,
        ):
            return
        LOG.info(
            "request would outlast the stop",
            extra={
                "request": call.id,
                "route": call.route.name,
                "left_ms": int(left_s * MS_PER_S),
                "latest_end_ms": int(latest_end_s * MS_PER_S),
                "expected_ms": int(expected_s * MS_PER_S),
            },
        )
        raise errors.RequestError(
            code=errors.ResultCode.SHUTTING_DOWN,
            retry_after_s=STOPPING_RETRY_S,
        )

    def _stops_at(self) -> float:
        """Return the monotonic time by which a stop ends all requests."""
        return (
            self.stopping_since + self.settings.bounds.grace_s - EXIT_MARGIN_S
        )

    def _send_error(
        self,
        request: _request.CallerRequest,
        caller: _caller_connection.CallerConnection,
        error: errors.RequestError,
    ) -> None:
        fields = [
            (b"content-type", b"text/plain"),
            (b"zinniadyke-code", b"%d" % error.code.number),
        ]
        request_id = request.header(headers.REQUEST_ID)
        if request_id:
            fields.append(
                (
                    headers.REQUEST_ID.encode(),
                    request_id.encode("latin-1"),
                )
            )
        if error.retry_after_s is not None:
            fields.append((b"retry-after", b"%.3f" % error.retry_after_s))
        body = error.message.encode() + b"\n"
        if request.method == "HEAD":
            fields.append((b"content-length", b"%d" % len(body)))
            caller.send_bodiless(error.code.status, fields)
        else:
            caller.send_response(error.code.status, fields, body)
        caller.flush()

    def _log_request(
        self,
        request: _request.CallerRequest,
        call: _call.Call | None,
        code: errors.ResultCode,
    ) -> None:
        took_s = time.monotonic() - request.arrived_at
        telemetry.count(telemetry.Metric.REQUESTS, label=str(code.number))
        fields = {
            "request": request.header(headers.REQUEST_ID),
            "code": code.number,
            "result": code.name,
            "configuration": self._configuration_version(),
            "ms": math.ceil(took_s * MS_PER_S),
        }
        if call is not None:
            # Not by route: a configuration may have thousands.
            label = f"{call.workspace}.{call.service}"
            telemetry.timing(telemetry.Metric.REQUEST_TIME, took_s, label)
            if call.first_part_at is not None:
                telemetry.timing(
                    telemetry.Metric.FIRST_PART_TIME,
                    call.first_part_at - request.arrived_at,
                    label,
                )
            fields["route"] = call.route.name
            fields["service"] = call.service
            fields["workspace"] = call.workspace
            fields["targets"] = call.tried
            fields["waited_ms"] = int(call.waited_s * MS_PER_S)
            for name, moment in (
                ("sent_ms", call.sent_at),
                ("first_ms", call.first_part_at),
            ):
                if moment is not None:
                    fields[name] = _ms_between(request.arrived_at, moment)
            if call.sent_at is None:
                fields["waiting"] = call.queue_length_at_decision
                fields["expected_wait_ms"] = _ms_or_none(call.expected_wait_s)
                fields["patience_ms"] = _ms_or_none(call.max_wait_s)
            if call.engine_priority is not None:
                urgency = call.urgency
                fields["urgency"] = [urgency.workspace, urgency.route]
                fields["reserved"] = call.reserved_slots
            fields["load"] = call.load_at_send
            fields["load_age_ms"] = _ms_or_none(call.load_age_s)
            if call.predicted_s is not None:
                fields["predicted_ms"] = _ms_or_none(call.predicted_s)
            fields["gap_ms"] = math.ceil(call.longest_gap_s * MS_PER_S)
        LOG.info("request", extra=fields)

    def _configuration_version(self) -> int | None:
        found = self.view.configuration
        return found.version if found is not None else None

    def _serve_ready(self) -> None:
        wsgi.server(
            self.ready_socket,
            self._respond_ready,
            log=WSGI_LOG,
            log_output=False,
            debug=False,
        )

    def _respond_ready(self, environ, start_response):
        if environ["PATH_INFO"] != READY_PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        status = "200 OK" if self.ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]


def _cold_limit(
    service: directory.Service, *, bounds: settings.BoundsSection
) -> requests.ColdLimit | None:
    return requests.make_cold_limit(
        cold_per_s=service.cold_per_s,
        cold_s=service.cold_s,
        overage=bounds.cold_overage,
        slack=bounds.cold_slack,
    )


def _ms_between(start: float, end: float) -> int:
    return math.ceil((end - start) * MS_PER_S)


def _ms_or_none(seconds: float) -> int | None:
    """Return milliseconds, rounded up; None for an infinite time."""
    return None if math.isinf(seconds) else math.ceil(seconds * MS_PER_S)
