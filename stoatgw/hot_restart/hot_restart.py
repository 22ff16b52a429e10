"""Another process of this proxy beside this one: who accepts, and what the two hold together."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from stoatgw.clients.context import ProxyContext
from stoatgw.clients.listener import Listener
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.hot_restart.handover import may_begin, newer
from stoatgw.hot_restart.sibling_processes import ProcessRecord, SiblingProcesses
from stoatgw.telemetry.log import EventLog

LOOK_S = 0.1
BASE = 24  # descriptors of a process beside those of its clients


class HotRestart:
    def __init__(
        self, folder: str | None, context: ProxyContext, listener: Listener, director: DiscoveryClient, log: EventLog
    ) -> None:
        self._context, self._listener, self._director, self._log = context, listener, director, log
        self._peers = SiblingProcesses(Path(folder)) if folder else None
        self._own = ProcessRecord(False, context.clock.now_us(), BASE)
        self._others: list[ProcessRecord] = []
        self.is_accepting = False
        self._told: dict[str, str] = {}  # troubles that last, by event: told once

    def start(self) -> None:
        """Be seen, and take clients unless another process still does."""
        if self._peers is None:
            self._log.event("siblings_read_failed", error="TMPDIR is not set")
        else:
            try:
                self._peers.join(self._own)
            except OSError as fault:
                self._log.event("siblings_read_failed", error=str(fault))
                self._peers = None
        self._look()
        if any(peer.is_accepting for peer in self._others):
            self._log.event("sibling_detected", others=len(self._others))
            self._listener.set_accepting(False)
        else:
            self._take_clients()

    def _take_clients(self) -> None:
        """From now on this process is the one that accepts."""
        self._own = replace(self._own, is_accepting=True, since_us=self._context.clock.now_us())
        self._tell()
        self.is_accepting = True
        self._listener.set_accepting(True)

    def is_superseded(self) -> bool:
        """Whether a process that began later takes the clients."""
        self._look()
        return newer(self._own, self._others)

    def _tell(self) -> None:
        if self._peers is not None:
            try:
                self._peers.publish(self._own)
                self._told.pop("sibling_publish_failed", None)
            except OSError as fault:
                self._trouble("sibling_publish_failed", fault)

    def _trouble(self, event: str, fault: OSError) -> None:
        if self._told.get(event) != str(fault):  # it is met ten times a second
            self._told[event] = str(fault)
            self._log.event(event, error=str(fault))

    def _look(self) -> None:
        if self._peers is None:
            return
        try:
            self._others = self._peers.others()
            self._told.pop("siblings_read_failed", None)
        except OSError as fault:
            self._trouble("siblings_read_failed", fault)
            self._others = []
        self._context.descriptor_limiter.held_by_siblings = sum(peer.descriptors for peer in self._others)

    def poll(self) -> None:
        """To be called every LOOK_S."""
        self._look()
        held = BASE + self._context.descriptor_limiter.descriptors_held
        if held != self._own.descriptors:
            self._own = replace(self._own, descriptors=held)
            self._tell()
        if not self._own.is_accepting:
            self._begin_later()
        else:
            self._yield_or_accept()

    def stop(self) -> None:
        """This process ends."""
        if self._peers is not None:
            self._peers.leave()

    def _begin_later(self) -> None:
        now_us, known = self._context.clock.now_us(), self._context.backends.has_endpoints
        alone = not any(peer.is_accepting for peer in self._others)  # whoever served has gone: nobody does now
        if (alone and known) or may_begin(self._own.since_us, self._director.publisher.first_update_us, known, now_us):
            self._log.event("accepting_taken_over", others=len(self._others))
            self._take_clients()

    def _yield_or_accept(self) -> None:
        """Accept unless one that began later does; if that one dies, again."""
        accepts = self._context.lifecycle.is_serving and not newer(self._own, self._others)
        if accepts != self.is_accepting and self._context.lifecycle.is_serving:
            self.is_accepting = accepts
            self._log.event("accepting_resumed" if accepts else "accepting_yielded")
            self._listener.set_accepting(accepts)
