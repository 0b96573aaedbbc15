"""Tests of the log configuration."""

import json

import pytest
import structlog

from nutmegshore.logs import configure_logs, get_logger


@pytest.mark.parametrize('form', ['json', 'console'])
def test_a_line_has_the_component_and_the_fields(capsys, form):
    """Guards against lines that cannot be searched by field."""
    configure_logs(form)
    get_logger('operators').info('object_written', reason='a\nb "c"')
    get_logger('operators').debug('detail')
    structlog.reset_defaults()
    text = capsys.readouterr().out
    assert text.count('object_written') == 1
    assert 'detail' not in text
    if form == 'json':
        fields = json.loads(text)
        assert (fields['part'], fields['reason']) == ('operators', 'a\nb "c"')
        assert fields['level'] == 'info'
